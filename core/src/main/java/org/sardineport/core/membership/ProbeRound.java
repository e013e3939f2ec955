package org.sardineport.core.membership;

import java.time.Duration;
import java.time.Instant;

/**
 * A probe that awaits its response.
 */
final class ProbeRound {

	private final long sequence;

	private final Peer target;

	private final Instant startedAt;

	private Instant directDeadline;

	private Instant deadline;

	private boolean indirectStarted;

	private boolean failed;

	ProbeRound(long sequence, Peer target, Instant startedAt, Instant directDeadline, Instant deadline) {
		this.sequence = sequence;
		this.target = target;
		this.startedAt = startedAt;
		this.directDeadline = directDeadline;
		this.deadline = deadline;
	}

	long sequence() {
		return this.sequence;
	}

	Peer target() {
		return this.target;
	}

	Instant startedAt() {
		return this.startedAt;
	}

	/**
	 * Postpones what the round waits for.
	 * @param delay time for which this daemon could not take note of a response
	 */
	void postpone(Duration delay) {
		this.directDeadline = this.directDeadline.plus(delay);
		this.deadline = this.deadline.plus(delay);
	}

	/**
	 * Returns when the round has something to do.
	 * @return the time; {@link Instant#MAX} once it has failed
	 */
	Instant nextDue() {
		if (this.failed) {
			return Instant.MAX;
		}
		return (this.indirectStarted) ? this.deadline : this.directDeadline;
	}

	/**
	 * Ends the round if its time is over. Returns {@code true} at most once.
	 * @param now the current time
	 * @return whether it has failed now
	 */
	boolean fails(Instant now) {
		if (this.failed || now.isBefore(this.deadline)) {
			return false;
		}
		this.failed = true;
		return true;
	}

	/**
	 * Starts the indirect probes if the time for a direct response is over. Returns
	 * {@code true} at most once.
	 * @param now the current time
	 * @return whether to ask other daemons to probe the target now
	 */
	boolean startIndirect(Instant now) {
		if (this.indirectStarted || this.failed || now.isBefore(this.directDeadline)) {
			return false;
		}
		this.indirectStarted = true;
		return true;
	}

}
