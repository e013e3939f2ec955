package org.sardineport.core.scheduling;

import org.sardineport.core.request.RefusalReason;
import org.sardineport.core.request.RetryReason;

/**
 * Why an owner denies a permit.
 */
public enum PermitDenial {

	/** The daemon asked does not own the backend server. */
	NOT_OWNER(RetryReason.NOT_OWNER, RefusalReason.NO_BACKEND_SERVER),

	/** More urgent work leaves no room in time. */
	OVERLOADED(RetryReason.OWNER_FULL, RefusalReason.OVERLOADED),

	/** There is no room without a preemption, which the entry did not ask for. */
	NO_ROOM(RetryReason.OWNER_FULL, RefusalReason.OVERLOADED),

	/** The backend server is too slow to finish before the deadline, even at once. */
	DEADLINE_UNREACHABLE(RetryReason.OWNER_FULL, RefusalReason.DEADLINE_UNREACHABLE),

	/** The backend server failed lately and gets only probes. */
	ISOLATED(RetryReason.OWNER_FULL, RefusalReason.NO_BACKEND_SERVER),

	/** The backend server is leaving. */
	LEAVING(RetryReason.BACKEND_LEAVING, RefusalReason.NO_BACKEND_SERVER);

	private final RetryReason retryReason;

	private final RefusalReason refusalReason;

	PermitDenial(RetryReason retryReason, RefusalReason refusalReason) {
		this.retryReason = retryReason;
		this.refusalReason = refusalReason;
	}

	/**
	 * Returns the reason under which another backend server is tried.
	 * @return the retry reason
	 */
	public RetryReason retryReason() {
		return this.retryReason;
	}

	/**
	 * Returns what the caller is told if no other backend server is left to try.
	 * @return the refusal reason
	 */
	public RefusalReason refusalReason() {
		return this.refusalReason;
	}

}
