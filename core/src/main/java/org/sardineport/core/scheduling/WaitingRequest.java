package org.sardineport.core.scheduling;

import org.sardineport.core.identity.DaemonId;

/**
 * A request that waits at its owner.
 *
 * @param ask what the entry asked
 * @param entry daemon that asked
 * @param deadline when the answer must be complete, in milliseconds of the owner's clock
 * @param startBy from when on it is of no use to begin it, by the same clock
 */
record WaitingRequest(PermitRequest ask, DaemonId entry, long deadline, long startBy) {

	/**
	 * Returns a request that begins to wait.
	 * @param ask what the entry asked
	 * @param entry daemon that asked
	 * @param now the current time in milliseconds of the owner's clock
	 * @return the waiting request
	 */
	static WaitingRequest of(PermitRequest ask, DaemonId entry, long now) {
		return new WaitingRequest(ask, entry, now + ask.remaining().toMillis(), now + ask.startWithin().toMillis());
	}

}
