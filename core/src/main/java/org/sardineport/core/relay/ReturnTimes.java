package org.sardineport.core.relay;

import java.time.Duration;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Tells refused callers when to come back: late enough for a burst to pass, spread so
 * that they do not come all at once, and early enough for the answer. Not safe for use by
 * several threads.
 */
public final class ReturnTimes {

	/** Part of the time left after which callers come back in any case. */
	private static final double LATEST_PART = 1.0 / 3;

	/** Earliest return, as a part of the latest. */
	private static final double EARLIEST_PART = 0.5;

	/** Longest time to wait, whatever the caller's limit. */
	private static final Duration LONGEST = Duration.ofSeconds(5);

	private final RandomGenerator random;

	private ReturnTimes(RandomGenerator random) {
		this.random = Objects.requireNonNull(random, "random must not be null");
	}

	/**
	 * Returns the times.
	 * @param random source of randomness
	 * @return the times
	 */
	public static ReturnTimes create(RandomGenerator random) {
		return new ReturnTimes(random);
	}

	/**
	 * Chooses when a caller whose request found no room comes back.
	 * @param timeLeft time for which the caller still waits for an answer
	 * @return time to wait
	 */
	public Duration afterOverload(Duration timeLeft) {
		double latest = Math.min(LONGEST.toMillis(), LATEST_PART * Math.max(0, timeLeft.toMillis()));
		double part = EARLIEST_PART + (1 - EARLIEST_PART) * this.random.nextDouble();
		return Duration.ofMillis(Math.max(1, (long) (part * latest)));
	}

}
