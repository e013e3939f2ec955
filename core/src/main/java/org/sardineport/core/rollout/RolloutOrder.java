package org.sardineport.core.rollout;

import java.time.Duration;
import java.util.Objects;

import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.identity.PoolName;

/**
 * An operator's order to move the traffic of a pool to another software version.
 *
 * @param pool the pool
 * @param target the version that is brought in
 * @param duration time from the order within which it should be carried out; positive
 * @param revision number of the order; a later order of any pool has a higher one
 */
public record RolloutOrder(PoolName pool, SoftwareVersion target, Duration duration, long revision) {

	/**
	 * Creates the order.
	 * @throws IllegalArgumentException if the duration is not positive
	 */
	public RolloutOrder {
		Objects.requireNonNull(pool, "pool must not be null");
		Objects.requireNonNull(target, "target must not be null");
		if (duration.isNegative() || duration.isZero()) {
			throw new IllegalArgumentException("duration must be positive, found " + duration);
		}
	}

}
