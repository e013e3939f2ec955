package org.sardineport.core.configuration;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;

/**
 * Decides when this daemon writes a snapshot into the stream: when nobody has done so for
 * an interval and a share of it that differs from daemon to daemon. Not safe for use by
 * several threads.
 */
public final class SnapshotSchedule {

	private final Duration patience;

	private Instant last;

	private SnapshotSchedule(Duration patience, Instant last) {
		this.patience = patience;
		this.last = last;
	}

	/**
	 * Returns a schedule.
	 * @param interval time between two snapshots in the stream
	 * @param spread where this daemon stands among the others, from 0 to 1
	 * @param now the time
	 * @return the schedule; it waits a whole interval first
	 */
	public static SnapshotSchedule create(Duration interval, double spread, Instant now) {
		if (spread < 0 || spread > 1) {
			throw new IllegalArgumentException("spread must be from 0 to 1, found " + spread);
		}
		Duration share = Duration.ofNanos((long) (interval.toNanos() * spread));
		return new SnapshotSchedule(interval.plus(share), Objects.requireNonNull(now, "now must not be null"));
	}

	/**
	 * Tells of a whole snapshot in the stream.
	 * @param now when it was written
	 */
	public void seen(Instant now) {
		if (now.isAfter(this.last)) {
			this.last = now;
		}
	}

	/**
	 * Returns whether it is time for this daemon to write a snapshot.
	 * @param now the time
	 * @return whether it is due
	 */
	public boolean isDue(Instant now) {
		return !now.isBefore(this.last.plus(this.patience));
	}

}
