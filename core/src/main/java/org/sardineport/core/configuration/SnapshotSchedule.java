package org.sardineport.core.configuration;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;

/**
 * Decides when this daemon writes a snapshot into the stream: when no daemon has written
 * one for the interval plus a fraction of it that differs between daemons, so that they
 * do not all write at the same time. Not safe for use by several threads.
 */
public final class SnapshotSchedule {

	private final Duration delay;

	private Instant last;

	private SnapshotSchedule(Duration delay, Instant last) {
		this.delay = delay;
		this.last = last;
	}

	/**
	 * Returns a schedule.
	 * @param interval minimum time between two snapshots in the stream
	 * @param jitter fraction of the interval that this daemon waits in addition, from 0
	 * to 1
	 * @param now the current time
	 * @return the schedule; its first snapshot is due after the interval and the jitter
	 */
	public static SnapshotSchedule create(Duration interval, double jitter, Instant now) {
		if (jitter < 0 || jitter > 1) {
			throw new IllegalArgumentException("jitter must be from 0 to 1, found " + jitter);
		}
		Duration offset = Duration.ofNanos((long) (interval.toNanos() * jitter));
		return new SnapshotSchedule(interval.plus(offset), Objects.requireNonNull(now, "now must not be null"));
	}

	/**
	 * Records a complete snapshot in the stream.
	 * @param now time at which it was written
	 */
	public void seen(Instant now) {
		if (now.isAfter(this.last)) {
			this.last = now;
		}
	}

	/**
	 * Returns whether this daemon should write a snapshot now.
	 * @param now the current time
	 * @return whether it is due
	 */
	public boolean isDue(Instant now) {
		return !now.isBefore(this.last.plus(this.delay));
	}

}
