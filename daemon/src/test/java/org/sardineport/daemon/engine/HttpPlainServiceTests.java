package org.sardineport.daemon.engine;

import java.time.Duration;
import java.util.Map;

import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.port.backend.PlainService;
import org.sardineport.daemon.time.SteadyInstantSource;
import org.sardineport.standins.http.FreeAddress;
import org.sardineport.standins.service.LedgerStandIn;
import org.sardineport.standins.service.ServiceFault;

/**
 * Runs the plain service contract against the HTTP client and a stand-in service.
 */
class HttpPlainServiceTests extends PlainServiceContract {

	private final Vertx vertx = Vertx.vertx();

	private final LedgerStandIn ledger = LedgerStandIn.create(this.vertx, Duration.ofMillis(1));

	private final HttpModelEngine adapter = HttpModelEngine.create(this.vertx, SteadyInstantSource.create());

	@BeforeEach
	void start() {
		this.ledger.start().toCompletableFuture().join();
	}

	@AfterEach
	void stop() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	@Override
	PlainService service() {
		return this.adapter;
	}

	@Override
	BackendServer server() {
		return BackendServers.service("ledger", this.ledger.address());
	}

	@Override
	BackendServer absentServer() {
		return BackendServers.service("absent", FreeAddress.find());
	}

	@Override
	void setFault(ServiceFault fault) {
		this.ledger.setFault(fault);
	}

	@Override
	Map<String, Integer> executions() {
		return this.ledger.executions();
	}

}
