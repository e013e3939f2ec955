package org.sardineport.settings;

import java.time.Duration;

/**
 * Limits of scheduling.
 *
 * @param permitLifetime time within which a permit must be used
 * @param ownerTimeout time to wait for an owner's answer
 * @param maximumWaiting most requests that wait for a permit at once on one daemon
 * @param loadReportInterval time between two load reports of one backend server
 */
public record SchedulingSettings(Duration permitLifetime, Duration ownerTimeout, int maximumWaiting,
		Duration loadReportInterval) {

	/**
	 * Returns the defaults.
	 * @return the settings that hold where a file says nothing
	 */
	public static SchedulingSettings defaults() {
		return new SchedulingSettings(Duration.ofSeconds(1), Duration.ofMillis(500), 10_000, Duration.ofSeconds(1));
	}

}
