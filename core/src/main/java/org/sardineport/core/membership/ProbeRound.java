package org.sardineport.core.membership;

import java.time.Instant;

/**
 * A probe that awaits its response.
 */
final class ProbeRound {

	private final long sequence;

	private final Peer target;

	private final Instant directDeadline;

	private final Instant deadline;

	private boolean indirectStarted;

	ProbeRound(long sequence, Peer target, Instant directDeadline, Instant deadline) {
		this.sequence = sequence;
		this.target = target;
		this.directDeadline = directDeadline;
		this.deadline = deadline;
	}

	long sequence() {
		return this.sequence;
	}

	Peer target() {
		return this.target;
	}

	boolean isOver(Instant now) {
		return !now.isBefore(this.deadline);
	}

	/**
	 * Starts the indirect probes if the time for a direct response is over. Returns
	 * {@code true} at most once.
	 * @param now the current time
	 * @return whether to ask other daemons to probe the target now
	 */
	boolean startIndirect(Instant now) {
		if (this.indirectStarted || now.isBefore(this.directDeadline)) {
			return false;
		}
		this.indirectStarted = true;
		return true;
	}

}
