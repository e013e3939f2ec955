package org.sardineport.settings;

import java.time.Duration;

/**
 * Timeouts and limits of scheduling.
 *
 * @param permitLifetime time within which a permit must be used
 * @param ownerTimeout time to wait for the response of an owner
 * @param maximumWaiting maximum number of requests that wait for a permit on one daemon
 * @param loadReportInterval time between two load reports of one backend server
 * @param learnsCapacity whether the concurrency beyond which a backend server gains no
 * throughput is learned and not exceeded, where it otherwise would be the nominal one
 */
public record SchedulingSettings(Duration permitLifetime, Duration ownerTimeout, int maximumWaiting,
		Duration loadReportInterval, boolean learnsCapacity) {

	/**
	 * Creates settings without learned capacity.
	 * @param permitLifetime time within which a permit must be used
	 * @param ownerTimeout time to wait for the response of an owner
	 * @param maximumWaiting maximum number of requests that wait for a permit on one
	 * daemon
	 * @param loadReportInterval time between two load reports of one backend server
	 */
	public SchedulingSettings(Duration permitLifetime, Duration ownerTimeout, int maximumWaiting,
			Duration loadReportInterval) {
		this(permitLifetime, ownerTimeout, maximumWaiting, loadReportInterval, false);
	}

	/**
	 * Returns the values of keys that are absent from the settings file.
	 * @return the default settings
	 */
	public static SchedulingSettings defaults() {
		return new SchedulingSettings(Duration.ofSeconds(1), Duration.ofMillis(500), 10_000, Duration.ofSeconds(1));
	}

}
