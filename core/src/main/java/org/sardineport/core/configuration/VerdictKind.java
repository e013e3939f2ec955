package org.sardineport.core.configuration;

import java.util.Locale;

/**
 * Result of evaluating a record of the configuration stream.
 */
public enum VerdictKind {

	/** The publication took effect. */
	ACCEPTED,

	/** Another publication changed one of its profiles first. */
	CONFLICT,

	/**
	 * The publication cannot take effect, for example because it is malformed, retires an
	 * unknown profile or exceeds a limit.
	 */
	INVALID,

	/** The record was not written by this system. */
	UNREADABLE;

	/**
	 * Returns the name in lower case, as used in metrics and logs.
	 * @return the label
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
