package org.sardineport.core.relay;

import java.util.Objects;

import org.sardineport.core.identity.PoolName;

/**
 * A pool that gets a part of a route's requests.
 *
 * @param pool the pool
 * @param weight its part, relative to the other pools of the route; not negative
 */
public record WeightedPool(PoolName pool, int weight) {

	/**
	 * Creates the part.
	 * @throws IllegalArgumentException if the weight is negative
	 */
	public WeightedPool {
		Objects.requireNonNull(pool, "pool must not be null");
		if (weight < 0) {
			throw new IllegalArgumentException("weight must not be negative, found " + weight);
		}
	}

}
