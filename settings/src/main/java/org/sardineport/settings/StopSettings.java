package org.sardineport.settings;

import java.time.Duration;

/**
 * Settings of planned stops.
 *
 * @param linger time for which new requests are served after a stop is announced; longer
 * than {@link CallerSettings#keepTime()}, so that callers with a cached address are
 * served
 * @param limit time after which requests in flight are aborted; zero for no limit
 */
public record StopSettings(Duration linger, Duration limit) {

	/**
	 * Returns the values of keys that are absent from the settings file.
	 * @return the default settings
	 */
	public static StopSettings defaults() {
		return new StopSettings(Duration.ofSeconds(15), Duration.ZERO);
	}

}
