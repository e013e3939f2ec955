package org.sardineport.daemon.eventloop;

import java.time.Duration;

/**
 * Decides when an event loop runs its periodic task: as soon as it has work, but not more
 * often than once in the interval. Times are readings of one monotonic clock in
 * nanoseconds. Not thread-safe.
 */
final class TickSchedule {

	private final long intervalNanos;

	private long earliest;

	private long next;

	/**
	 * Creates a schedule whose first run is due after one interval.
	 * @param interval minimum time between two runs
	 * @param now the current time
	 */
	TickSchedule(Duration interval, long now) {
		this.intervalNanos = interval.toNanos();
		this.earliest = now + this.intervalNanos;
		this.next = this.earliest;
	}

	/**
	 * Records a run.
	 * @param now the current time
	 */
	void ran(long now) {
		this.earliest = now + this.intervalNanos;
		this.next = this.earliest;
	}

	/**
	 * Replaces the time of the next run.
	 * @param untilDue time until there is work; negative if it is overdue
	 * @param now the current time
	 */
	void due(Duration untilDue, long now) {
		long due = now + untilDue.toNanos();
		this.next = (due - this.earliest > 0) ? due : this.earliest;
	}

	/**
	 * Returns the time until the next run.
	 * @param now the current time
	 * @return nanoseconds; not positive if the run is due
	 */
	long nanosUntilRun(long now) {
		return this.next - now;
	}

}
