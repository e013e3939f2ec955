package org.sardineport.core.membership;

import java.time.Instant;

/**
 * A probe that awaits its response.
 */
final class ProbeRound {

	private final long sequence;

	private final Peer target;

	private final Instant directDeadline;

	private boolean indirectStarted;

	ProbeRound(long sequence, Peer target, Instant directDeadline) {
		this.sequence = sequence;
		this.target = target;
		this.directDeadline = directDeadline;
	}

	long sequence() {
		return this.sequence;
	}

	Peer target() {
		return this.target;
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
