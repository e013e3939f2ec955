package org.sardineport.core.membership;

import java.util.HashSet;
import java.util.Set;

import org.sardineport.core.identity.DaemonId;

/**
 * Tells a cut of this daemon from the death of others: when several different daemons in
 * a row did not answer, this daemon is more likely the one cut off.
 */
final class SelfDoubt {

	/** Number of different daemons that must fail to answer in a row. */
	private static final int THRESHOLD = 3;

	private final Set<DaemonId> unanswered = new HashSet<>();

	boolean isActive() {
		return this.unanswered.size() >= THRESHOLD;
	}

	/**
	 * A daemon answered.
	 * @return whether doubt ended by this
	 */
	boolean answered() {
		boolean ended = isActive();
		this.unanswered.clear();
		return ended;
	}

	/**
	 * A daemon did not answer.
	 * @param daemon the daemon
	 * @return whether doubt began by this
	 */
	boolean unanswered(DaemonId daemon) {
		if (isActive()) {
			return false;
		}
		this.unanswered.add(daemon);
		return isActive();
	}

}
