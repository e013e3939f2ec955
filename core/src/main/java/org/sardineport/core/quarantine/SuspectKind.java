package org.sardineport.core.quarantine;

import java.util.Locale;

/**
 * What may be to blame for the crash of a backend server.
 */
public enum SuspectKind {

	/** A request, with everything that it holds. */
	REQUEST,

	/** A part of prompts, which several requests may share. */
	PROMPT_PART;

	/**
	 * Returns the name in logs.
	 * @return the name in lower case with dashes
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
