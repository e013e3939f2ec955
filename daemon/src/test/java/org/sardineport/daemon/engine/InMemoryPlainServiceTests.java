package org.sardineport.daemon.engine;

import java.util.Map;

import org.junit.jupiter.api.AfterEach;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.port.backend.PlainService;
import org.sardineport.standins.service.InMemoryPlainService;
import org.sardineport.standins.service.ServiceFault;

/**
 * Runs the plain service contract against the in-memory fake.
 */
class InMemoryPlainServiceTests extends PlainServiceContract {

	private final InMemoryPlainService fake = InMemoryPlainService.create();

	@AfterEach
	void stop() {
		this.fake.stop().toCompletableFuture().join();
	}

	@Override
	PlainService service() {
		return this.fake;
	}

	@Override
	BackendServer server() {
		return BackendServers.service("ledger", NetworkAddress.of("127.0.0.1", 1));
	}

	@Override
	BackendServer absentServer() {
		BackendServer absent = BackendServers.service("absent", NetworkAddress.of("127.0.0.1", 2));
		this.fake.setUnreachable(absent.id());
		return absent;
	}

	@Override
	void setFault(ServiceFault fault) {
		this.fake.setFault(fault);
	}

	@Override
	Map<String, Integer> executions() {
		return this.fake.executions();
	}

}
