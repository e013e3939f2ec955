package org.sardineport.core.journal;

/**
 * Stage of a claim made by this process.
 */
enum ClaimStage {

	/** The ACCEPTED record has not been read back yet. */
	ACCEPTING,

	/** The claim holds the key. */
	HOLDING,

	/** A DISPATCHED record has not been read back yet. */
	DISPATCHING,

	/** The DISPATCHED record was read back: the request may be sent, once. */
	DISPATCHED,

	/** The RELEASED record has not been read back yet; the request will not be sent. */
	RELEASING

}
