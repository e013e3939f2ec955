package org.sardineport.core.relay;

import java.util.Objects;

import org.sardineport.core.identity.PoolName;

/**
 * A pool that receives a share of a route's requests.
 *
 * @param pool name of the pool
 * @param weight share of the requests, relative to the other pools of the route; not
 * negative
 */
public record WeightedPool(PoolName pool, int weight) {

	/**
	 * Creates the weighted pool; validates the weight.
	 * @throws IllegalArgumentException if the weight is negative
	 */
	public WeightedPool {
		Objects.requireNonNull(pool, "pool must not be null");
		if (weight < 0) {
			throw new IllegalArgumentException("weight must not be negative, found " + weight);
		}
	}

}
