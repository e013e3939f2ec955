package org.sardineport.standins.log;

/**
 * Fault that is injected into one append.
 */
public enum AppendFault {

	/** The record is appended, and the response is lost. */
	RESPONSE_LOST_AFTER_EFFECT(true),

	/** The request is lost on its way: the record is not appended. */
	LOST_BEFORE_EFFECT(false),

	/**
	 * The response is lost, and the record is appended only with
	 * {@link InMemoryLogService#releaseLateAppends()}.
	 */
	LATE_EFFECT(false),

	/** The service rejects the request, and the record is not appended. */
	REFUSED(false);

	private final boolean applied;

	AppendFault(boolean applied) {
		this.applied = applied;
	}

	/**
	 * Returns whether the record is in the stream when the call fails.
	 * @return whether it was appended at once
	 */
	public boolean isApplied() {
		return this.applied;
	}

}
