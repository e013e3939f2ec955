package org.sardineport.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.sardineport.core.fleet.Member;

/**
 * Measures by how much this daemon is late for what is due. It may get to run late, or in
 * time but with messages that waited to be read, so both the times at which it runs and
 * the round trips of its probes count. The result changes in steps, so that it changes
 * seldom. Not thread-safe.
 */
final class LatenessMeter {

	/** Time for which a late run counts, at least; at most twice as long. */
	static final Duration WINDOW = Duration.ofSeconds(5);

	static final Duration STEP = Duration.ofMillis(250);

	/** Number of round trips whose median counts. */
	private static final int ROUND_TRIPS = 9;

	/** A slow round trip is rarely longer than this number of medians. */
	private static final int MEDIANS = 3;

	private final Duration tolerance;

	private final Deque<Duration> roundTrips = new ArrayDeque<>();

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
	 * Records that this daemon runs now. Of a pause only what follows the time at which
	 * it had to run is seen, on average half of it, and the pause did not begin before it
	 * ran last.
	 * @param now the current time
	 * @param due time at which it had to run
	 * @return estimated time for which it could not run
	 */
	Duration ran(Instant now, Instant due) {
		Duration late = max(Duration.between(due, now), Duration.ZERO);
		Duration sinceLastRun = Duration.between(this.lastRun, now);
		Duration gap = (late.multipliedBy(2).compareTo(sinceLastRun) < 0) ? late.multipliedBy(2) : sinceLastRun;
		this.lastRun = now;
		if (Duration.between(this.windowStart, now).compareTo(WINDOW) >= 0) {
			this.previous = this.current;
			this.current = Duration.ZERO;
			this.windowStart = now;
		}
		this.current = max(this.current, gap);
		return gap;
	}

	/**
	 * Records that a probe was answered, in time or not.
	 * @param time time from the probe to its answer
	 */
	void answered(Duration time) {
		this.roundTrips.addLast(time);
		if (this.roundTrips.size() > ROUND_TRIPS) {
			this.roundTrips.removeFirst();
		}
	}

	/**
	 * Returns by how much this daemon is late.
	 * @return a multiple of {@link #STEP}, at most {@link Member#MAXIMUM_LATENESS}; zero
	 * up to the tolerance
	 */
	Duration lateness() {
		Duration largest = max(max(this.current, this.previous), medianRoundTrip().multipliedBy(MEDIANS));
		if (largest.compareTo(this.tolerance) <= 0) {
			return Duration.ZERO;
		}
		Duration rounded = STEP.multipliedBy(largest.plus(STEP).minusNanos(1).dividedBy(STEP));
		return (rounded.compareTo(Member.MAXIMUM_LATENESS) < 0) ? rounded : Member.MAXIMUM_LATENESS;
	}

	private Duration medianRoundTrip() {
		if (this.roundTrips.isEmpty()) {
			return Duration.ZERO;
		}
		List<Duration> sorted = this.roundTrips.stream().sorted().toList();
		return sorted.get(sorted.size() / 2);
	}

	private static Duration max(Duration one, Duration other) {
		return (one.compareTo(other) > 0) ? one : other;
	}

}
