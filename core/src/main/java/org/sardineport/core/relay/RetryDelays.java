package org.sardineport.core.relay;

import java.time.Duration;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Chooses the {@code Retry-After} delay of refused requests: long enough for a burst to
 * pass, randomised so that callers do not retry all at once, and short enough to leave
 * time for the response. Not thread-safe.
 */
public final class RetryDelays {

	/** Maximum delay as a fraction of the caller's remaining time. */
	private static final double MAX_DELAY_FRACTION = 1.0 / 3;

	/** Minimum delay as a fraction of the maximum. */
	private static final double MIN_TO_MAX_RATIO = 0.5;

	/** Upper bound on the delay, regardless of the caller's remaining time. */
	private static final Duration MAX_DELAY = Duration.ofSeconds(5);

	/** Time over which callers are spread after a pause, as a fraction of the pause. */
	private static final double PAUSE_SPREAD = 0.5;

	/** Maximum time over which callers are spread after a pause. */
	private static final Duration MAX_PAUSE_SPREAD = Duration.ofSeconds(1);

	private final RandomGenerator random;

	private RetryDelays(RandomGenerator random) {
		this.random = Objects.requireNonNull(random, "random must not be null");
	}

	/**
	 * Returns a source of delays.
	 * @param random source of randomness
	 * @return the source of delays
	 */
	public static RetryDelays create(RandomGenerator random) {
		return new RetryDelays(random);
	}

	/**
	 * Returns the delay for a caller whose request was refused because of overload.
	 * @param remaining time for which the caller still waits for a response
	 * @return the delay, between half of the maximum and the maximum; at least 1 ms
	 */
	public Duration afterOverload(Duration remaining) {
		double maxMillis = Math.min(MAX_DELAY.toMillis(), MAX_DELAY_FRACTION * Math.max(0, remaining.toMillis()));
		double fraction = MIN_TO_MAX_RATIO + (1 - MIN_TO_MAX_RATIO) * this.random.nextDouble();
		return Duration.ofMillis(Math.max(1, (long) (fraction * maxMillis)));
	}

	/**
	 * Returns the delay for a caller whose request was refused because all backend
	 * servers want a pause.
	 * @param pause time until the first of them wants requests again
	 * @return the delay, at least the pause
	 */
	public Duration afterPause(Duration pause) {
		double spread = Math.min(MAX_PAUSE_SPREAD.toMillis(), PAUSE_SPREAD * pause.toMillis());
		return pause.plusMillis((long) (this.random.nextDouble() * spread));
	}

}
