package org.sardineport.core.membership;

import java.time.Duration;

/**
 * Intervals and timeouts of the membership protocol.
 *
 * @param probeInterval time between two probes by one daemon; a probe that has not been
 * answered within it, directly or indirectly, has failed
 * @param probeTimeout time after which other daemons are asked to probe the target as
 * well; shorter than the interval
 * @param suspicionTimeout time after which a suspected daemon is declared dead
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
	 * Returns the longest time from the death of a daemon until the daemon that probes it
	 * declares it dead, provided that only one daemon dies and no message is lost. The
	 * daemon before it on the ring probes it in every second interval.
	 * @return three probe intervals plus the suspicion timeout
	 */
	public Duration detectionBound() {
		return this.probeInterval.multipliedBy(3).plus(this.suspicionTimeout);
	}

}
