package org.sardineport.core.publishing;

import java.util.Locale;

/**
 * What a publication does to a profile.
 */
public enum ChangeKind {

	/** Puts it in force for the first time. */
	PUBLISHED,

	/** Puts another text of it in force. */
	REPLACED,

	/** Takes it out of force. */
	RETIRED;

	/**
	 * Returns the lower-case name.
	 * @return the label
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
