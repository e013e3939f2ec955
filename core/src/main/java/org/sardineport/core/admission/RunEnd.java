package org.sardineport.core.admission;

/**
 * How a permit's use ended, which tells the scheduler what to learn from it.
 */
public enum RunEnd {

	/** The permit was given back unused. */
	UNUSED,

	/** The whole answer came. */
	COMPLETED,

	/** No connection could be made; the request was not sent. */
	NOT_CONNECTED,

	/** The backend server answered with a failure of its own. */
	REJECTED,

	/** The connection broke before the answer's end mark. */
	BROKEN,

	/** The deadline passed while it ran. */
	TIMED_OUT,

	/** The daemon cancelled it: its caller left or it was preempted. */
	CANCELLED;

	/**
	 * Returns whether the backend server's health is in doubt after this end.
	 * @return whether it counts as a failure of the backend server
	 */
	public boolean isBackendFailure() {
		return this == NOT_CONNECTED || this == REJECTED || this == BROKEN || this == TIMED_OUT;
	}

}
