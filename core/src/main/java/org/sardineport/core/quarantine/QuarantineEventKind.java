package org.sardineport.core.quarantine;

import java.util.Locale;

/**
 * Kinds of {@link QuarantineEvent}.
 */
public enum QuarantineEventKind {

	/** This daemon observed a crash and recorded a strike. */
	STRIKE_RECORDED,

	/** This daemon observed a crash whose strike it had already. */
	STRIKE_REPEATED,

	/** Another daemon sent a strike that was not known here. */
	STRIKE_RECEIVED,

	/** The strikes became enough for a quarantine. */
	BEGAN,

	/** A success withdrew a strike. */
	CLEARED,

	/** The last strike expired, or was dropped to make room for newer ones. */
	EXPIRED;

	/**
	 * Returns the name in logs and metrics.
	 * @return the name in lower case with dashes
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
