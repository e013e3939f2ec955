package org.sardineport.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Objects;

/**
 * Estimates when a request arrived that an event loop gets to late, for want of processor
 * time. Callers count their time limits from when they send, so that a request must not
 * count as new because it had to wait to be read. Not safe for use by several threads.
 */
public final class ArrivalEstimate {

	/**
	 * Interval at which the event loop must call {@link #ticked(Duration)} while
	 * connections are open.
	 */
	public static final Duration TICK = Duration.ofMillis(50);

	private final InstantSource clock;

	private Instant due;

	private ArrivalEstimate(InstantSource clock) {
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
		this.due = clock.instant().plus(TICK);
	}

	/**
	 * Returns an estimate for an event loop that runs now.
	 * @param clock a steady clock
	 * @return the estimate
	 */
	public static ArrivalEstimate create(InstantSource clock) {
		return new ArrivalEstimate(clock);
	}

	/**
	 * Records that the event loop runs a periodic task.
	 * @param interval time until it is due again
	 */
	public void ticked(Duration interval) {
		this.due = this.clock.instant().plus(interval);
	}

	/**
	 * Returns the earliest time at which input may have arrived that is read now.
	 * @return now, unless the periodic task is overdue; then when it was due
	 */
	public Instant arrival() {
		Instant now = this.clock.instant();
		boolean isLate = now.isAfter(this.due.plus(TICK));
		return isLate ? this.due : now;
	}

}
