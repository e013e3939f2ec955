package org.sardineport.core.scheduling;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits of one daemon's scheduling.
 *
 * @param permitLifetime time within which a permit must be used
 * @param ownerTimeout time to wait for an owner's answer
 * @param maximumWaiting most requests that wait for a permit at once
 * @param assumptions what is taken to be true of the engines
 */
public record SchedulingLimits(Duration permitLifetime, Duration ownerTimeout, int maximumWaiting,
		EngineAssumptions assumptions) {

	/**
	 * Creates the limits.
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
	 * Creates limits for engines of which everything is learned.
	 * @param permitLifetime time within which a permit must be used
	 * @param ownerTimeout time to wait for an owner's answer
	 * @param maximumWaiting most requests that wait for a permit at once
	 */
	public SchedulingLimits(Duration permitLifetime, Duration ownerTimeout, int maximumWaiting) {
		this(permitLifetime, ownerTimeout, maximumWaiting, EngineAssumptions.NONE);
	}

}
