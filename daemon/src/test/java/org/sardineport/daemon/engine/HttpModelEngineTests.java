package org.sardineport.daemon.engine;

import java.time.Duration;
import java.util.List;

import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.port.backend.ModelEngine;
import org.sardineport.daemon.time.SteadyInstantSource;
import org.sardineport.standins.engine.EngineFaults;
import org.sardineport.standins.engine.EngineOptions;
import org.sardineport.standins.engine.ModelEngineStandIn;

/**
 * Runs the model engine contract against the HTTP client and stand-in engines.
 */
class HttpModelEngineTests extends ModelEngineContract {

	private final Vertx vertx = Vertx.vertx();

	private final SteadyInstantSource clock = SteadyInstantSource.create();

	private final HttpModelEngine adapter = HttpModelEngine.create(this.vertx, this.clock);

	private final List<ModelEngineStandIn> engines = List.of(engine(EngineOptions.fast()), engine(EngineOptions.fast()),
			engine(EngineOptions.fast().withAbilities(false, false)),
			engine(EngineOptions.fast().withLag(Duration.ofHours(1))));

	@BeforeEach
	void start() {
		this.engines.forEach((engine) -> engine.start().toCompletableFuture().join());
	}

	@AfterEach
	void stop() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	@Override
	ModelEngine engine() {
		return this.adapter;
	}

	@Override
	BackendServer server(int index) {
		return BackendServers.engine("engine-" + index, this.engines.get(index).address());
	}

	@Override
	EngineFaults faults(int index) {
		return this.engines.get(index).faults();
	}

	@Override
	int dispatches(int index, String tag) {
		return this.engines.get(index).counters().dispatches().getOrDefault(tag, 0);
	}

	@Override
	void setLeaving(int index) {
		this.engines.get(index).setLeaving(true);
	}

	private ModelEngineStandIn engine(EngineOptions options) {
		return ModelEngineStandIn.create(this.vertx, this.clock, options);
	}

}
