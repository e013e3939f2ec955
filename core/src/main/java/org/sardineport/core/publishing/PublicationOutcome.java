package org.sardineport.core.publishing;

/**
 * Outcome of a publication, as far as its publisher can determine it.
 */
public enum PublicationOutcome {

	/** The publication is in force. */
	ACCEPTED,

	/**
	 * Another publication changed one of its profiles first; it will never be in force.
	 */
	CONFLICT,

	/** It was rejected as invalid; it will never be in force. */
	INVALID,

	/** It was not appended to the log; it will never be in force. */
	NOT_PUBLISHED,

	/** It may be in force already, or may come into force later. */
	UNKNOWN

}
