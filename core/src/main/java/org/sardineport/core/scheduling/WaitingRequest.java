package org.sardineport.core.scheduling;

import org.sardineport.core.identity.DaemonId;

/**
 * A request waiting for a permit at its owner. Times are milliseconds of the owner's
 * clock.
 *
 * @param permitRequest the entry's permit request
 * @param entry daemon that sent the permit request
 * @param deadline time by which the answer must be complete
 * @param targetStartBy time after which a start is late for the caller
 * @param startBy time until which the caller waits for a start
 */
record WaitingRequest(PermitRequest permitRequest, DaemonId entry, long deadline, long targetStartBy, long startBy) {

	/**
	 * Converts the remaining times of a permit request to points in time of the owner's
	 * clock.
	 * @param permitRequest the entry's permit request
	 * @param entry daemon that sent the permit request
	 * @param now the current time in milliseconds of the owner's clock
	 * @return the waiting request
	 */
	static WaitingRequest of(PermitRequest permitRequest, DaemonId entry, long now) {
		return new WaitingRequest(permitRequest, entry, now + permitRequest.remaining().toMillis(),
				now + permitRequest.targetStartWithin().toMillis(), now + permitRequest.startWithin().toMillis());
	}

	/**
	 * Returns whether its caller no longer waits for a start.
	 * @param now the current time
	 * @return whether its entry has dropped it, or is about to
	 */
	boolean isExpired(long now) {
		return this.startBy < now || this.deadline <= now;
	}

}
