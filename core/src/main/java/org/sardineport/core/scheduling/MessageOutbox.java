package org.sardineport.core.scheduling;

import org.sardineport.core.identity.DaemonId;

/**
 * Where messages to other sides of scheduling go, in this daemon or another.
 */
interface MessageOutbox {

	/**
	 * Gives a message to a daemon.
	 * @param to the daemon, which may be this one
	 * @param message the message
	 */
	void send(DaemonId to, SchedulingMessage message);

}
