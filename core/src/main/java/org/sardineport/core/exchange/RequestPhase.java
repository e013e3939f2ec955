package org.sardineport.core.exchange;

/**
 * Phase in the life cycle of a request.
 */
public enum RequestPhase {

	/** Its head was received; its body may still be incomplete. */
	RECEIVED,
	/** It passed all checks. */
	ADMITTED,
	/** It waits for a permit. */
	WAITING,
	/** It was handed to a backend server; bytes of it may have been sent. */
	DISPATCHED,
	/** Its complete response was received. */
	COMPLETED,
	/** It ended without a complete response. */
	FAILED,
	/** Its caller disconnected. */
	CANCELLED;

	/**
	 * Returns whether the request has ended.
	 * @return {@code true} if no other phase can follow
	 */
	public boolean isFinal() {
		return this == COMPLETED || this == FAILED || this == CANCELLED;
	}

	/**
	 * Returns whether a request in this phase has certainly not been sent.
	 * @return {@code true} if the outcome {@code not-run} may be reported
	 */
	public boolean isBeforeDispatch() {
		return ordinal() < DISPATCHED.ordinal();
	}

	/**
	 * Returns whether a phase may directly follow this one.
	 * @param next the other phase
	 * @return {@code true} if the transition is allowed
	 */
	public boolean canTransitionTo(RequestPhase next) {
		return switch (this) {
			case RECEIVED -> next == ADMITTED || next == FAILED || next == CANCELLED;
			case ADMITTED -> next == WAITING || next == FAILED || next == CANCELLED;
			case WAITING -> next == DISPATCHED || next == FAILED || next == CANCELLED;
			case DISPATCHED -> next.isFinal();
			case COMPLETED, FAILED, CANCELLED -> false;
		};
	}

}
