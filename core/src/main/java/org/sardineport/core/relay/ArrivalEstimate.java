package org.sardineport.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Objects;

/**
 * Estimates when a request arrived that an event loop gets to late, for want of processor
 * time. Callers count their time limits from when they send, so that a request must not
 * count as new because it had to wait to be read. The event loop's delay is measured by
 * ticks while callers are connected and some time after, and otherwise by a check at a
 * longer interval: what it is late then for less than that interval is not noticed. Not
 * safe for use by several threads.
 */
public final class ArrivalEstimate {

	/** Interval of the ticks. */
	public static final Duration TICK = Duration.ofMillis(50);

	/** Interval of the checks. */
	public static final Duration CHECK = Duration.ofSeconds(1);

	/** Time without callers after which the ticks stop. */
	static final Duration LINGER = Duration.ofSeconds(5);

	private final InstantSource clock;

	/** When the event loop has to run next, by the tick or the check. */
	private Instant due;

	private Instant checkDue;

	private Instant lastConnected;

	private boolean isTicking;

	private ArrivalEstimate(InstantSource clock) {
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
		Instant now = clock.instant();
		this.due = now.plus(CHECK);
		this.checkDue = this.due;
		this.lastConnected = now;
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
	 * Records that callers can connect from now on. Ticks and checks must run from now
	 * on.
	 */
	public void listening() {
		Instant now = this.clock.instant();
		this.lastConnected = now;
		this.checkDue = now.plus(CHECK);
		this.isTicking = true;
		this.due = now.plus(TICK);
	}

	/**
	 * Records that a caller has connected. Ticks must run from now on. If the check is
	 * overdue, the caller may have waited since it was due.
	 */
	public void connected() {
		Instant now = this.clock.instant();
		this.lastConnected = now;
		if (!this.isTicking) {
			this.isTicking = true;
			this.due = isLate(now) ? this.due : now.plus(TICK);
		}
	}

	/**
	 * Records a tick.
	 * @param hasCallers whether callers are connected
	 * @return whether ticks must go on
	 */
	public boolean ticked(boolean hasCallers) {
		Instant now = this.clock.instant();
		if (hasCallers) {
			this.lastConnected = now;
		}
		this.isTicking = now.isBefore(this.lastConnected.plus(LINGER));
		this.due = this.isTicking ? now.plus(TICK) : later(now, this.checkDue);
		return this.isTicking;
	}

	/**
	 * Records a check.
	 */
	public void checked() {
		this.checkDue = this.clock.instant().plus(CHECK);
		if (!this.isTicking) {
			this.due = this.checkDue;
		}
	}

	/**
	 * Returns the earliest time at which input may have arrived that is read now.
	 * @return now, unless the tick or the check is overdue; then when it was due
	 */
	public Instant arrival() {
		Instant now = this.clock.instant();
		return isLate(now) ? this.due : now;
	}

	private boolean isLate(Instant now) {
		return now.isAfter(this.due.plus(TICK));
	}

	private static Instant later(Instant one, Instant other) {
		return one.isAfter(other) ? one : other;
	}

}
