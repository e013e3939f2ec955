package org.sardineport.daemon.engine;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.port.backend.ModelEngine;
import org.sardineport.daemon.time.SteadyInstantSource;
import org.sardineport.standins.engine.EngineFaults;
import org.sardineport.standins.engine.EngineOptions;
import org.sardineport.standins.engine.InMemoryModelEngine;

/**
 * Runs the model engine contract against the in-memory fake.
 */
class InMemoryModelEngineTests extends ModelEngineContract {

	private final InMemoryModelEngine fake = InMemoryModelEngine.create(SteadyInstantSource.create());

	@BeforeEach
	void start() {
		List<EngineOptions> options = List.of(EngineOptions.fast(), EngineOptions.fast(),
				EngineOptions.fast().withAbilities(false, false), EngineOptions.fast().withLag(Duration.ofHours(1)));
		for (int i = 0; i < options.size(); i++) {
			this.fake.add(server(i).id(), options.get(i));
		}
	}

	@AfterEach
	void stop() {
		this.fake.stop().toCompletableFuture().join();
	}

	@Override
	ModelEngine engine() {
		return this.fake;
	}

	@Override
	BackendServer server(int index) {
		return BackendServers.engine("engine-" + index, NetworkAddress.of("127.0.0.1", 1 + index));
	}

	@Override
	EngineFaults faults(int index) {
		return this.fake.faults(server(index).id());
	}

	@Override
	int dispatches(int index, String tag) {
		return this.fake.counters(server(index).id()).dispatches().getOrDefault(tag, 0);
	}

	@Override
	void setLeaving(int index) {
		this.fake.setLeaving(server(index).id(), true);
	}

}
