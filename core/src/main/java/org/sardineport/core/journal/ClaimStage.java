package org.sardineport.core.journal;

/**
 * Where this daemon is with a claim of its own.
 */
enum ClaimStage {

	/** The ACCEPTED record is on its way. */
	ACCEPTING,

	/** The claim holds the key. */
	HOLDING,

	/** A DISPATCHED record is on its way. */
	DISPATCHING,

	/** The DISPATCHED record was read back: the request may be sent, once. */
	DISPATCHED,

	/** The RELEASED record is on its way; the request will not be sent. */
	RELEASING

}
