package org.sardineport.daemon.scheduling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import com.codahale.metrics.DefaultSettableGauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SettableGauge;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.routing.ServerState;

/**
 * One gauge for each backend server that this daemon owns, with the concurrency in force
 * there. Confined to the scheduling event loop.
 */
final class CapacityGauges {

	private static final String PREFIX = "scheduling.capacity.";

	private final MetricRegistry registry;

	private final Map<BackendServerId, SettableGauge<Integer>> gauges = new HashMap<>();

	private CapacityGauges(MetricRegistry registry) {
		this.registry = registry;
	}

	static CapacityGauges create(MetricRegistry registry) {
		return new CapacityGauges(registry);
	}

	/**
	 * Sets the gauges, and removes those of backend servers that are not owned any more.
	 * @param states states of the owned backend servers
	 */
	void update(List<ServerState> states) {
		Set<BackendServerId> owned = states.stream().map(ServerState::backendServer).collect(Collectors.toSet());
		this.gauges.keySet().removeIf((server) -> !owned.contains(server) && this.registry.remove(name(server)));
		for (ServerState state : states) {
			this.gauges.computeIfAbsent(state.backendServer(), this::register).setValue(state.limit());
		}
	}

	private SettableGauge<Integer> register(BackendServerId server) {
		return this.registry.register(name(server), new DefaultSettableGauge<>(0));
	}

	private static String name(BackendServerId server) {
		return PREFIX + server.value();
	}

}
