package org.sardineport.core.membership;

import java.time.Duration;
import java.time.Instant;

/**
 * Measures by how much this daemon is late for what is due, from the times at which it
 * gets to run. The result is the largest delay of late, in steps, so that it changes
 * seldom. Not thread-safe.
 */
final class LatenessMeter {

	/** Time for which a delay counts, at least; at most twice as long. */
	static final Duration WINDOW = Duration.ofSeconds(5);

	/** Larger delays are pauses, after which nothing of before is relied on. */
	static final Duration MAXIMUM = Duration.ofSeconds(2);

	static final Duration STEP = Duration.ofMillis(250);

	private final Duration tolerance;

	private Instant lastRun;

	private Instant windowStart;

	private Duration current = Duration.ZERO;

	private Duration previous = Duration.ZERO;

	LatenessMeter(Duration tolerance, Instant now) {
		this.tolerance = tolerance;
		this.lastRun = now;
		this.windowStart = now;
	}

	/**
	 * Records that this daemon runs now.
	 * @param now the current time
	 * @return the time since it ran before
	 */
	Duration ran(Instant now) {
		Duration gap = Duration.between(this.lastRun, now);
		this.lastRun = now;
		if (Duration.between(this.windowStart, now).compareTo(WINDOW) >= 0) {
			this.previous = this.current;
			this.current = Duration.ZERO;
			this.windowStart = now;
		}
		if (gap.compareTo(this.tolerance) > 0 && gap.compareTo(this.current) > 0) {
			this.current = gap;
		}
		return gap;
	}

	/**
	 * Returns by how much this daemon is late.
	 * @return a multiple of {@link #STEP}, at most {@link #MAXIMUM}
	 */
	Duration lateness() {
		Duration largest = (this.current.compareTo(this.previous) > 0) ? this.current : this.previous;
		Duration rounded = STEP.multipliedBy(largest.plus(STEP).minusNanos(1).dividedBy(STEP));
		return (rounded.compareTo(MAXIMUM) < 0) ? rounded : MAXIMUM;
	}

}
