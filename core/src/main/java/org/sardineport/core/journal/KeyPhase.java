package org.sardineport.core.journal;

/**
 * Where a keyed request is in its life.
 */
public enum KeyPhase {

	/** No record of the key within the replay window. */
	ABSENT,

	/** Accepted, not dispatched. */
	ACCEPTED,

	/** Dispatched to a backend server. */
	DISPATCHED,

	/** Ended, with an outcome. */
	FINISHED

}
