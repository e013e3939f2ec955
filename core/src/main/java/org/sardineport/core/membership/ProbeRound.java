package org.sardineport.core.membership;

import java.time.Instant;

/**
 * One probe that waits for its answer.
 */
final class ProbeRound {

	private final long sequence;

	private final Peer target;

	private final Instant directEnds;

	private boolean othersAsked;

	ProbeRound(long sequence, Peer target, Instant directEnds) {
		this.sequence = sequence;
		this.target = target;
		this.directEnds = directEnds;
	}

	long sequence() {
		return this.sequence;
	}

	Peer target() {
		return this.target;
	}

	/**
	 * Returns, once, whether the time for a direct answer is over.
	 * @param now the current time
	 * @return whether to ask other daemons now
	 */
	boolean askOthers(Instant now) {
		if (this.othersAsked || now.isBefore(this.directEnds)) {
			return false;
		}
		this.othersAsked = true;
		return true;
	}

}
