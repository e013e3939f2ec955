package org.sardineport.core.rollout;

import java.util.Objects;

import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.identity.PoolName;

/**
 * The stored state of a pool's rollout.
 *
 * @param pool the pool
 * @param state the state
 * @param target the version that is brought in
 * @param revision number of the order
 */
public record RolloutStatus(PoolName pool, RolloutState state, SoftwareVersion target, long revision) {

	/**
	 * Creates the status.
	 */
	public RolloutStatus {
		Objects.requireNonNull(pool, "pool must not be null");
		Objects.requireNonNull(state, "state must not be null");
		Objects.requireNonNull(target, "target must not be null");
	}

	/**
	 * Returns the status of an order.
	 * @param order the order
	 * @param state its state
	 * @return the status
	 */
	public static RolloutStatus of(RolloutOrder order, RolloutState state) {
		return new RolloutStatus(order.pool(), state, order.target(), order.revision());
	}

}
