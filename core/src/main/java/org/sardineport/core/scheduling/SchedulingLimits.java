package org.sardineport.core.scheduling;

import java.time.Duration;
import java.util.Objects;

/**
 * Timeouts and limits of the scheduler of one daemon.
 *
 * @param permitLifetime time within which a granted permit must be used
 * @param ownerTimeout time to wait for an owner's reply
 * @param maximumWaiting maximum number of requests waiting for a permit, at least 1
 * @param assumptions assumptions about the engines
 */
public record SchedulingLimits(Duration permitLifetime, Duration ownerTimeout, int maximumWaiting,
		EngineAssumptions assumptions) {

	/**
	 * Creates the limits.
	 * @throws IllegalArgumentException if {@code maximumWaiting} is less than 1
	 */
	public SchedulingLimits {
		Objects.requireNonNull(permitLifetime, "permitLifetime must not be null");
		Objects.requireNonNull(ownerTimeout, "ownerTimeout must not be null");
		Objects.requireNonNull(assumptions, "assumptions must not be null");
		if (maximumWaiting < 1) {
			throw new IllegalArgumentException("maximumWaiting must be at least 1, found " + maximumWaiting);
		}
	}

	/**
	 * Creates limits without assumptions about the engines.
	 * @param permitLifetime time within which a granted permit must be used
	 * @param ownerTimeout time to wait for an owner's reply
	 * @param maximumWaiting maximum number of requests waiting for a permit, at least 1
	 */
	public SchedulingLimits(Duration permitLifetime, Duration ownerTimeout, int maximumWaiting) {
		this(permitLifetime, ownerTimeout, maximumWaiting, EngineAssumptions.NONE);
	}

}
