package org.sardineport.core.scheduling;

import org.sardineport.core.identity.DaemonId;

/**
 * Sends messages between the entry side and the owner side of scheduling, within this
 * daemon or to another one.
 */
interface MessageOutbox {

	/**
	 * Sends a message to a daemon. Delivery to another daemon is not guaranteed.
	 * @param to the daemon, which may be this one
	 * @param message the message
	 */
	void send(DaemonId to, SchedulingMessage message);

}
