package org.sardineport.core.membership;

import java.time.Duration;
import java.util.Objects;

import org.sardineport.core.quarantine.StrikeKey;

/**
 * Update about a strike against a request.
 *
 * @param key the request and the process that crashed
 * @param remaining time for which the strike still counts
 */
public record StrikeUpdate(StrikeKey key, Duration remaining) {

	/**
	 * Creates the update.
	 * @throws IllegalArgumentException if the remaining time is negative
	 */
	public StrikeUpdate {
		Objects.requireNonNull(key, "key must not be null");
		if (remaining.isNegative()) {
			throw new IllegalArgumentException("remaining must not be negative, found %s".formatted(remaining));
		}
	}

}
