package org.sardineport.core.scheduling;

import org.sardineport.core.identity.DaemonId;

/**
 * Where an owner's answers go.
 */
interface OwnerReplies {

	/**
	 * Gives a message to an entry, which may be this daemon.
	 * @param entry the entry
	 * @param message the message
	 */
	void send(DaemonId entry, SchedulingMessage message);

}
