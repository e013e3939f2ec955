package org.sardineport.settings;

import java.time.Duration;

/**
 * Planned stops.
 *
 * @param linger time for which callers are served after the stop was announced; longer
 * than the keep time
 * @param limit time after which running work is cut off; zero for never
 */
public record StopSettings(Duration linger, Duration limit) {

	/**
	 * Returns the defaults.
	 * @return the settings that hold where a file says nothing
	 */
	public static StopSettings defaults() {
		return new StopSettings(Duration.ofSeconds(15), Duration.ZERO);
	}

}
