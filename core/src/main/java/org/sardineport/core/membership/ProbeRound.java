package org.sardineport.core.membership;

import java.time.Instant;

/**
 * A probe that awaits its response.
 */
final class ProbeRound {

	private final long sequence;

	private final Peer target;

	private final Instant startedAt;

	private final Instant directDeadline;

	private final Instant deadline;

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
