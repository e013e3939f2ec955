package org.sardineport.core.scheduling;

import org.sardineport.core.capacity.CapacityChange;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.quarantine.QuarantineEffects;
import org.sardineport.core.request.RetryReason;

/**
 * Outgoing effects of the scheduler other than its replies to callers: messages to other
 * daemons, retry counts and those of the quarantine.
 */
public interface SchedulingEffects {

	/**
	 * Sends a message to another daemon, or a {@link DelayProbe} to this one by the same
	 * way.
	 * @param to the daemon
	 * @param message the message
	 */
	void send(DaemonId to, SchedulingMessage message);

	/**
	 * Counts a retry of a request that has not been dispatched.
	 * @param reason reason for the retry
	 */
	void recordRetry(RetryReason reason);

	/**
	 * Records that other limits than before apply to a backend server that this daemon
	 * owns.
	 * @param reporter the daemon to which the backend server stated them
	 * @param report what it stated, and how long ago
	 */
	default void recordStatedLimits(DaemonId reporter, StatedLimitsReport report) {
	}

	/**
	 * Records that a backend server that this daemon owns was isolated.
	 * @param reporter the daemon whose run failed last
	 * @param release how that run ended
	 */
	default void recordIsolation(DaemonId reporter, PermitRelease release) {
	}

	/**
	 * Records that the learned capacity of a backend server that this daemon owns
	 * changed.
	 * @param server the backend server
	 * @param change the change
	 */
	default void recordCapacity(BackendServerId server, CapacityChange change) {
	}

	/**
	 * Records that this daemon now grants the permits of a backend server, or no longer
	 * does.
	 * @param server the backend server
	 * @param owned whether it is owned from now on
	 */
	default void recordOwnership(BackendServerId server, boolean owned) {
	}

	/**
	 * Records that an owner does not reply at all, so that its backend servers are
	 * avoided for a while.
	 * @param owner the owner
	 */
	default void recordSilentOwner(DaemonId owner) {
	}

	/**
	 * Records that this daemon wants another share of the permit requests of entries.
	 * @param change the share, and how long messages waited
	 */
	default void recordRequestShare(RequestShareChange change) {
	}

	/**
	 * Returns the effects of the quarantine. Called once, when the scheduler is created.
	 * @return the effects; by default events and strikes are discarded
	 */
	default QuarantineEffects quarantine() {
		return QuarantineEffects.NONE;
	}

}
