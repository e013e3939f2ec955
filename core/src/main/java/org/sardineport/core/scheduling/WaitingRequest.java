package org.sardineport.core.scheduling;

import org.sardineport.core.identity.DaemonId;

/**
 * A request that waits at its owner.
 *
 * @param ask what the entry asked
 * @param entry daemon that asked
 * @param deadline when the answer must be complete, in milliseconds of the owner's clock
 * @param promptBy until when it begins in time for its caller, by the same clock
 * @param startBy until when its caller waits for it to begin, by the same clock
 */
record WaitingRequest(PermitRequest ask, DaemonId entry, long deadline, long promptBy, long startBy) {

	/**
	 * Returns a request that begins to wait.
	 * @param ask what the entry asked
	 * @param entry daemon that asked
	 * @param now the current time in milliseconds of the owner's clock
	 * @return the waiting request
	 */
	static WaitingRequest of(PermitRequest ask, DaemonId entry, long now) {
		return new WaitingRequest(ask, entry, now + ask.remaining().toMillis(), now + ask.promptWithin().toMillis(),
				now + ask.startWithin().toMillis());
	}

}
