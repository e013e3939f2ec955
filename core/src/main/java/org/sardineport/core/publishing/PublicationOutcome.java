package org.sardineport.core.publishing;

/**
 * What became of a publication, as far as its publisher can tell.
 */
public enum PublicationOutcome {

	/** It is in force. */
	ACCEPTED,

	/** Others changed one of its profiles first; it will never be in force. */
	CONFLICT,

	/** It was refused; it will never be in force. */
	INVALID,

	/** It did not reach the log; it will never be in force. */
	NOT_PUBLISHED,

	/** It may be in force, now or later. */
	UNKNOWN

}
