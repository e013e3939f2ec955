package org.sardineport.core.journal;

/**
 * Phase of a keyed request in its life cycle.
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
