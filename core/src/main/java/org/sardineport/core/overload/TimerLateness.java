package org.sardineport.core.overload;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;

/**
 * Measures by how much a periodic timer is late. Runs with which the timer catches up
 * after a pause are no measurements: they would hide the pause behind many runs in time.
 * Not thread-safe.
 */
public final class TimerLateness {

	private final Duration interval;

	private Instant lastRun;

	private TimerLateness(Duration interval, Instant start) {
		this.interval = interval;
		this.lastRun = start;
	}

	/**
	 * Returns a measurement of a timer that starts now.
	 * @param interval time between two runs of the timer
	 * @param start the current time
	 * @return the measurement
	 */
	public static TimerLateness of(Duration interval, Instant start) {
		return new TimerLateness(Objects.requireNonNull(interval, "interval must not be null"),
				Objects.requireNonNull(start, "start must not be null"));
	}

	/**
	 * Records a run of the timer.
	 * @param now the current time
	 * @return whether the run is a measurement; its lateness is {@link #at(Instant)} as
	 * of before this call
	 */
	public boolean ran(Instant now) {
		boolean isCatchingUp = Duration.between(this.lastRun, now).compareTo(this.interval.dividedBy(2)) < 0;
		this.lastRun = now;
		return !isCatchingUp;
	}

	/**
	 * Returns by how much the next run is late.
	 * @param now the current time
	 * @return the lateness; zero before the run is due
	 */
	public Duration at(Instant now) {
		Duration late = Duration.between(this.lastRun, now).minus(this.interval);
		return late.isNegative() ? Duration.ZERO : late;
	}

}
