package org.sardineport.settings;

import java.time.Duration;

/**
 * Limits on requests of callers.
 *
 * @param maximumBodyBytes maximum size of a request body in bytes; also applies to routes
 * that allow more
 * @param bodyTimeout time within which the whole body must be received
 * @param maximumInFlight maximum number of concurrent requests
 * @param keepTime time for which a caller may cache the entry addresses
 */
public record CallerSettings(int maximumBodyBytes, Duration bodyTimeout, int maximumInFlight, Duration keepTime) {

	/**
	 * Returns the values of keys that are absent from the settings file.
	 * @return the default settings
	 */
	public static CallerSettings defaults() {
		return new CallerSettings(8 * 1024 * 1024, Duration.ofSeconds(30), 10_000, Duration.ofSeconds(10));
	}

}
