package org.sardineport.daemon.platform;

import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.sardineport.core.port.platform.VmList;
import org.sardineport.daemon.time.SteadyInstantSource;
import org.sardineport.standins.vm.VmListStandIn;

/**
 * Runs the VM list contract against the stand-in, called directly instead of over HTTP.
 */
class InMemoryVmListTests extends VmListContract {

	private final Vertx vertx = Vertx.vertx();

	private final VmListStandIn platform = VmListStandIn.create(this.vertx, SteadyInstantSource.create());

	@AfterEach
	void stop() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	@Override
	VmList list() {
		return this.platform;
	}

	@Override
	VmListStandIn platform() {
		return this.platform;
	}

}
