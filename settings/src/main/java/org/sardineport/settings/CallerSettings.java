package org.sardineport.settings;

import java.time.Duration;

/**
 * Limits towards callers.
 *
 * @param maximumBodyBytes largest body taken, whatever a route allows
 * @param bodyTimeout time within which a whole body must come
 * @param maximumInFlight most requests held at once
 * @param keepTime time for which a caller may keep an entry answer
 */
public record CallerSettings(int maximumBodyBytes, Duration bodyTimeout, int maximumInFlight, Duration keepTime) {

	/**
	 * Returns the defaults.
	 * @return the settings that hold where a file says nothing
	 */
	public static CallerSettings defaults() {
		return new CallerSettings(8 * 1024 * 1024, Duration.ofSeconds(30), 10_000, Duration.ofSeconds(10));
	}

}
