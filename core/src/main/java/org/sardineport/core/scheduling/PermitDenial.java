package org.sardineport.core.scheduling;

import org.sardineport.core.request.RefusalReason;
import org.sardineport.core.request.RetryReason;

/**
 * Why an owner denies a permit.
 */
public enum PermitDenial {

	/** The daemon that received the request does not own the backend server. */
	NOT_OWNER(RetryReason.NOT_OWNER, RefusalReason.NO_BACKEND_SERVER),

	/** Work ahead of the request leaves no room in time. */
	OVERLOADED(RetryReason.OWNER_FULL, RefusalReason.OVERLOADED),

	/** There is no room without a preemption, which the entry has not allowed. */
	NO_ROOM(RetryReason.OWNER_FULL, RefusalReason.OVERLOADED),

	/**
	 * The backend server is too slow to finish before the deadline even if it starts at
	 * once.
	 */
	DEADLINE_UNREACHABLE(RetryReason.OWNER_FULL, RefusalReason.DEADLINE_UNREACHABLE),

	/** The backend server failed recently and receives only probes. */
	ISOLATED(RetryReason.OWNER_FULL, RefusalReason.NO_BACKEND_SERVER),

	/** The backend server is leaving and receives no new requests. */
	LEAVING(RetryReason.BACKEND_LEAVING, RefusalReason.NO_BACKEND_SERVER);

	private final RetryReason retryReason;

	private final RefusalReason refusalReason;

	PermitDenial(RetryReason retryReason, RefusalReason refusalReason) {
		this.retryReason = retryReason;
		this.refusalReason = refusalReason;
	}

	/**
	 * Returns the reason recorded when the request is retried after this denial.
	 * @return the retry reason
	 */
	public RetryReason retryReason() {
		return this.retryReason;
	}

	/**
	 * Returns the refusal reason sent to the caller if no other backend server remains to
	 * be tried.
	 * @return the refusal reason
	 */
	public RefusalReason refusalReason() {
		return this.refusalReason;
	}

}
