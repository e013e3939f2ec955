package org.sardineport.settings;

import java.time.Duration;

/**
 * Probing of other daemons.
 *
 * @param probeInterval time between two probes by one daemon
 * @param probeTimeout time within which a probe must be answered
 * @param suspicionTimeout time after which a suspected daemon is taken to be dead
 * @param vmListInterval time between two fetches of the VM list
 */
public record MembershipSettings(Duration probeInterval, Duration probeTimeout, Duration suspicionTimeout,
		Duration vmListInterval) {

	/**
	 * Returns the defaults.
	 * @return the settings that hold where a file says nothing
	 */
	public static MembershipSettings defaults() {
		return new MembershipSettings(Duration.ofMillis(400), Duration.ofMillis(200), Duration.ofMillis(1000),
				Duration.ofSeconds(1));
	}

}
