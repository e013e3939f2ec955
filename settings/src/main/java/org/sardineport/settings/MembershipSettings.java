package org.sardineport.settings;

import java.time.Duration;

/**
 * Settings of failure detection among daemons.
 *
 * @param probeInterval time between two probes sent by one daemon
 * @param probeTimeout time to wait for the response to a probe; shorter than the interval
 * @param suspicionTimeout time after which a suspected daemon is declared dead
 * @param vmListInterval time between two fetches of the VM list
 */
public record MembershipSettings(Duration probeInterval, Duration probeTimeout, Duration suspicionTimeout,
		Duration vmListInterval) {

	/**
	 * Returns the values of keys that are absent from the settings file.
	 * @return the default settings
	 */
	public static MembershipSettings defaults() {
		return new MembershipSettings(Duration.ofMillis(400), Duration.ofMillis(200), Duration.ofMillis(1000),
				Duration.ofSeconds(1));
	}

}
