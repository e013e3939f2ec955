package org.sardineport.daemon.relay;

import java.time.Duration;

/**
 * Times of the latest turns of the event loop, which looks for data between two of them.
 * They tell for how long data may have waited that is read now. Confined to the event
 * loop.
 */
final class ReadTurns {

	/** Interval between two recorded turns. */
	static final Duration INTERVAL = Duration.ofMillis(50);

	/**
	 * Time within which no process of a backend server ends and another one starts under
	 * its address.
	 */
	private static final Duration MIN_RESTART = Duration.ofMillis(500);

	private static final long NEVER = Long.MAX_VALUE;

	private long previous = NEVER;

	private long last = NEVER;

	/**
	 * Begins anew after a time without connections.
	 * @param now the current time, in milliseconds of the clock, at which the first
	 * connection is open
	 */
	void restart(long now) {
		this.previous = now;
		this.last = now;
	}

	/**
	 * Records a turn.
	 * @param now the current time, in milliseconds of the clock
	 */
	void record(long now) {
		this.previous = this.last;
		this.last = now;
	}

	/**
	 * Returns a time at which the process that sent data still ran.
	 * @param now the time at which the data is read, in milliseconds of the clock
	 * @return that time, or the earliest at which the data may have come if another
	 * process can have started since
	 */
	long aliveAt(long now) {
		return (now - this.previous > MIN_RESTART.toMillis()) ? this.previous : now;
	}

}
