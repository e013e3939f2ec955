package org.sardineport.core.rollout;

import java.util.Map;

import org.sardineport.core.identity.PoolName;

/**
 * Gates of all pools. Immutable.
 *
 * @param gates gates of the pools of which not every version takes work
 */
public record VersionGates(Map<PoolName, VersionGate> gates) {

	/** No pool has a gate. */
	public static final VersionGates NONE = new VersionGates(Map.of());

	/**
	 * Creates the gates from a copy of the map.
	 */
	public VersionGates {
		gates = Map.copyOf(gates);
	}

	/**
	 * Returns the gate of a pool.
	 * @param pool the pool
	 * @return its gate, {@link VersionGate#OPEN} if it has none
	 */
	public VersionGate of(PoolName pool) {
		return this.gates.getOrDefault(pool, VersionGate.OPEN);
	}

}
