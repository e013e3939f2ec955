package org.sardineport.daemon.scheduling;

import java.util.List;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Test;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.routing.ServerState;
import org.sardineport.core.routing.Speed;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against gauges that do not follow the capacity, or that pile up as backend
 * servers come and go.
 */
class CapacityGaugesTests {

	private final MetricRegistry registry = new MetricRegistry();

	private final CapacityGauges gauges = CapacityGauges.create(this.registry);

	private static ServerState state(String server, int limit) {
		return new ServerState(BackendServerId.of(server), 0, 0, limit, false, false, false, 0, 0, Speed.UNKNOWN);
	}

	private Object value(String server) {
		return this.registry.getGauges().get("scheduling.capacity." + server).getValue();
	}

	@Test
	void showTheCapacityOfOwnedServersOnly() {
		this.gauges.update(List.of(state("s1", 16), state("s2", 8)));
		assertThat(value("s1")).isEqualTo(16);
		this.gauges.update(List.of(state("s1", 9)));
		assertThat(value("s1")).isEqualTo(9);
		assertThat(this.registry.getGauges()).hasSize(1);
		this.gauges.update(List.of(state("s2", 8)));
		assertThat(value("s2")).isEqualTo(8);
		assertThat(this.registry.getGauges()).hasSize(1);
	}

}
