package org.sardineport.daemon.rollout;

import java.util.HashMap;
import java.util.Map;

import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.identity.PoolName;

/**
 * Requests in flight by pool and software version. Confined to the event loop.
 */
final class VersionCounts {

	private final Map<PoolName, Map<SoftwareVersion, Integer>> counts = new HashMap<>();

	void increment(BackendServer server) {
		this.counts.computeIfAbsent(server.pool(), (pool) -> new HashMap<>())
			.merge(server.softwareVersion(), 1, Integer::sum);
	}

	void decrement(BackendServer server) {
		Map<SoftwareVersion, Integer> versions = this.counts.get(server.pool());
		if (versions != null) {
			versions.computeIfPresent(server.softwareVersion(), (version, count) -> (count > 1) ? count - 1 : null);
		}
	}

	int others(PoolName pool, SoftwareVersion target) {
		return this.counts.getOrDefault(pool, Map.of())
			.entrySet()
			.stream()
			.filter((entry) -> !entry.getKey().equals(target))
			.mapToInt(Map.Entry::getValue)
			.sum();
	}

}
