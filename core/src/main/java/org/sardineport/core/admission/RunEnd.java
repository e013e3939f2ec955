package org.sardineport.core.admission;

/**
 * How the use of a permit ended. The scheduler derives from it how the run affects the
 * estimated speed, the limit and the health of the backend server.
 */
public enum RunEnd {

	/** The permit was released unused. */
	UNUSED,

	/** The complete response was received. */
	COMPLETED,

	/** The connection could not be established; the request was not sent. */
	NOT_CONNECTED,

	/** The backend server returned an error response. */
	REJECTED,

	/** The connection broke before the terminator of the response. */
	BROKEN,

	/** The deadline passed during the run. */
	TIMED_OUT,

	/**
	 * The daemon cancelled the run because the caller disconnected or the request was
	 * preempted, or lost it with its path to the backend server.
	 */
	CANCELLED,

	/**
	 * The backend server rejected the request before it ran it, mostly for want of room.
	 */
	NOT_ADMITTED;

	/**
	 * Returns whether the backend server may have begun to run the request.
	 * @return {@code false} only if the request is known not to have run
	 */
	public boolean mayHaveRun() {
		return this != UNUSED && this != NOT_CONNECTED && this != NOT_ADMITTED;
	}

	/**
	 * Returns whether this end casts doubt on the health of the backend server.
	 * @return whether it counts as a failure of the backend server
	 */
	public boolean isBackendFailure() {
		return this == NOT_CONNECTED || this == REJECTED || this == BROKEN || this == TIMED_OUT;
	}

}
