package org.sardineport.core.scheduling;

import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.request.RetryReason;

/**
 * What scheduling does to the world besides its answers to callers.
 */
public interface SchedulingEffects {

	/**
	 * Sends a message to another daemon.
	 * @param to the daemon
	 * @param message the message
	 */
	void send(DaemonId to, SchedulingMessage message);

	/**
	 * Counts a retry before dispatch.
	 * @param reason why
	 */
	void retried(RetryReason reason);

}
