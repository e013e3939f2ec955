package org.sardineport.core.exchange;

/**
 * Where a request is in its life.
 */
public enum RequestPhase {

	/** Its head has come; its body may still be coming. */
	RECEIVED,
	/** It passed all checks. */
	ADMITTED,
	/** It waits for a permit. */
	WAITING,
	/** It was handed to a backend server; bytes of it may have been sent. */
	DISPATCHED,
	/** Its whole answer has come. */
	COMPLETED,
	/** It ended without a whole answer. */
	FAILED,
	/** Its caller left. */
	CANCELLED;

	/**
	 * Returns whether the request is over.
	 * @return whether no other phase follows
	 */
	public boolean isFinal() {
		return this == COMPLETED || this == FAILED || this == CANCELLED;
	}

	/**
	 * Returns whether a request in this phase is certain not to have been sent.
	 * @return whether the outcome {@code not-run} may be told
	 */
	public boolean isBeforeDispatch() {
		return ordinal() < DISPATCHED.ordinal();
	}

	/**
	 * Returns whether a phase may follow this one.
	 * @param next the other phase
	 * @return whether the change is allowed
	 */
	public boolean mayBecome(RequestPhase next) {
		return switch (this) {
			case RECEIVED -> next == ADMITTED || next == FAILED || next == CANCELLED;
			case ADMITTED -> next == WAITING || next == FAILED || next == CANCELLED;
			case WAITING -> next == DISPATCHED || next == FAILED || next == CANCELLED;
			case DISPATCHED -> next.isFinal();
			case COMPLETED, FAILED, CANCELLED -> false;
		};
	}

}
