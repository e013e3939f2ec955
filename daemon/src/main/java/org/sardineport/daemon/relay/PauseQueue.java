package org.sardineport.daemon.relay;

import java.util.HashMap;
import java.util.Map;

import org.sardineport.core.identity.PoolName;

/**
 * Counts the requests of each pool that wait for the end of a pause of all its backend
 * servers. Confined to the event loop.
 */
final class PauseQueue {

	private final Map<PoolName, Integer> waiting = new HashMap<>();

	/**
	 * Adds a request, unless enough wait.
	 * @param pool its pool
	 * @param maximum maximum number of requests of the pool
	 * @return whether it was added
	 */
	boolean enter(PoolName pool, int maximum) {
		int present = this.waiting.getOrDefault(pool, 0);
		if (present >= maximum) {
			return false;
		}
		this.waiting.put(pool, present + 1);
		return true;
	}

	/**
	 * Removes a request that was added.
	 * @param pool its pool
	 */
	void leave(PoolName pool) {
		this.waiting.computeIfPresent(pool, (name, present) -> (present > 1) ? present - 1 : null);
	}

}
