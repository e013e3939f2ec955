package org.sardineport.core.configuration;

import java.util.Locale;

/**
 * What became of a record of the configuration stream.
 */
public enum VerdictKind {

	/** The publication is in force. */
	ACCEPTED,

	/** Another publication changed one of its profiles first. */
	CONFLICT,

	/** The publication cannot be in force. */
	INVALID,

	/** The record is none of this system. */
	UNREADABLE;

	/**
	 * Returns the lower-case name, as in metrics and logs.
	 * @return the label
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
