package org.sardineport.core.membership;

import java.time.Duration;

/**
 * Times of the membership protocol.
 *
 * @param probeInterval time between two probes by one daemon, and the time that a probe
 * has to succeed directly or through others
 * @param probeTimeout time after which a direct probe is helped by indirect ones; shorter
 * than the interval
 * @param suspicionTimeout time after which a suspected daemon is taken to be dead
 */
public record MembershipTiming(Duration probeInterval, Duration probeTimeout, Duration suspicionTimeout) {

	/**
	 * Creates the timing.
	 * @throws IllegalArgumentException if a time is not positive or the probe timeout is
	 * not shorter than the interval
	 */
	public MembershipTiming {
		if (probeTimeout.isZero() || probeTimeout.isNegative() || suspicionTimeout.isZero()
				|| suspicionTimeout.isNegative()) {
			throw new IllegalArgumentException("probeTimeout and suspicionTimeout must be positive, found %s and %s"
				.formatted(probeTimeout, suspicionTimeout));
		}
		if (probeTimeout.compareTo(probeInterval) >= 0) {
			throw new IllegalArgumentException("probeTimeout must be shorter than probeInterval, found %s and %s"
				.formatted(probeTimeout, probeInterval));
		}
	}

	/**
	 * Returns the longest time from a daemon's death to its being taken for dead by the
	 * daemon that probes it, if one daemon dies and no message is lost. Each daemon has a
	 * fixed prober that turns to it every second interval.
	 * @return the time
	 */
	public Duration detectionBound() {
		return this.probeInterval.multipliedBy(3).plus(this.suspicionTimeout);
	}

}
