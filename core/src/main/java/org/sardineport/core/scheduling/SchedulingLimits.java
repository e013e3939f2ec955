package org.sardineport.core.scheduling;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits of one daemon's scheduling.
 *
 * @param permitLifetime time within which a permit must be used
 * @param ownerTimeout time to wait for an owner's answer
 * @param maximumWaiting most requests that wait for a permit at once
 */
public record SchedulingLimits(Duration permitLifetime, Duration ownerTimeout, int maximumWaiting) {

	/**
	 * Creates the limits.
	 */
	public SchedulingLimits {
		Objects.requireNonNull(permitLifetime, "permitLifetime must not be null");
		Objects.requireNonNull(ownerTimeout, "ownerTimeout must not be null");
		if (maximumWaiting < 1) {
			throw new IllegalArgumentException("maximumWaiting must be at least 1, found " + maximumWaiting);
		}
	}

}
