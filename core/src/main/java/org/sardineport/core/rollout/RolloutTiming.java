package org.sardineport.core.rollout;

import java.time.Duration;

/**
 * Intervals of the messages of a rollout.
 */
public final class RolloutTiming {

	/** Smallest interval between two announcements or two reports of a daemon. */
	public static final Duration MIN_INTERVAL = Duration.ofMillis(250);

	private static final Duration MAX_INTERVAL = Duration.ofSeconds(2);

	/** Interval for each daemon, so that a coordinator has a bounded rate of messages. */
	private static final Duration INTERVAL_PER_MEMBER = Duration.ofMillis(6);

	private RolloutTiming() {
	}

	/**
	 * Returns the interval in a fleet.
	 * @param members number of daemons
	 * @return the interval, which grows with the fleet up to two seconds
	 */
	public static Duration interval(int members) {
		Duration scaled = INTERVAL_PER_MEMBER.multipliedBy(members);
		if (scaled.compareTo(MIN_INTERVAL) < 0) {
			return MIN_INTERVAL;
		}
		return (scaled.compareTo(MAX_INTERVAL) < 0) ? scaled : MAX_INTERVAL;
	}

	/**
	 * Returns how long the share of a sample stays in force without being repeated.
	 * @param interval interval between two announcements
	 * @return the time
	 */
	static Duration lease(Duration interval) {
		return interval.multipliedBy(3).plus(MIN_INTERVAL);
	}

	/**
	 * Returns how long a coordinator may be silent before another one takes over.
	 * @param interval interval between two announcements
	 * @return the time
	 */
	static Duration silence(Duration interval) {
		return lease(interval).plus(MIN_INTERVAL);
	}

}
