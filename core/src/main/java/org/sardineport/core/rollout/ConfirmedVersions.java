package org.sardineport.core.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.identity.PoolName;

/**
 * Versions of each pool that were listed before the orders were last read. An order is
 * written before the backend servers of its version start, so that a version listed since
 * may be brought in by an order that is not known here yet. Not thread-safe.
 */
public final class ConfirmedVersions {

	private final Map<PoolName, Set<SoftwareVersion>> listed = new HashMap<>();

	private final Map<PoolName, Set<SoftwareVersion>> confirmed = new HashMap<>();

	private ConfirmedVersions() {
	}

	/**
	 * Returns versions without a listing.
	 * @return the versions
	 */
	public static ConfirmedVersions create() {
		return new ConfirmedVersions();
	}

	/**
	 * Records a listing.
	 * @param servers the backend servers
	 */
	public void listed(Collection<BackendServer> servers) {
		this.listed.clear();
		for (BackendServer server : servers) {
			this.listed.computeIfAbsent(server.pool(), (pool) -> new HashSet<>()).add(server.softwareVersion());
		}
	}

	/**
	 * Records that the orders were read after the last listing.
	 */
	public void ordersRead() {
		this.listed.forEach((pool, versions) -> this.confirmed.put(pool, new HashSet<>(versions)));
	}

	/**
	 * Returns the versions of a pool that must wait for the orders. The only version of a
	 * pool never waits.
	 * @param pool the pool
	 * @return the versions
	 */
	public Set<SoftwareVersion> unconfirmed(PoolName pool) {
		Set<SoftwareVersion> waiting = new HashSet<>(versions(pool));
		if (waiting.size() < 2) {
			return Set.of();
		}
		waiting.removeAll(this.confirmed.getOrDefault(pool, Set.of()));
		return (waiting.size() == versions(pool).size()) ? Set.of() : waiting;
	}

	/**
	 * Returns the versions of a pool that are listed.
	 * @param pool the pool
	 * @return the versions; not copied
	 */
	public Set<SoftwareVersion> versions(PoolName pool) {
		return this.listed.getOrDefault(pool, Set.of());
	}

	/**
	 * Returns the pools that have listed backend servers.
	 * @return the pools; not copied
	 */
	public Set<PoolName> pools() {
		return this.listed.keySet();
	}

}
