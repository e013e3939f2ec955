package org.sardineport.core.scheduling;

import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.quarantine.QuarantineListener;
import org.sardineport.core.request.RetryReason;

/**
 * Outgoing effects of the scheduler other than its replies to callers: messages to other
 * daemons, retry counts and events of the quarantine.
 */
public interface SchedulingEffects extends QuarantineListener {

	/**
	 * Sends a message to another daemon.
	 * @param to the daemon
	 * @param message the message
	 */
	void send(DaemonId to, SchedulingMessage message);

	/**
	 * Counts a retry of a request that has not been dispatched.
	 * @param reason reason for the retry
	 */
	void recordRetry(RetryReason reason);

}
