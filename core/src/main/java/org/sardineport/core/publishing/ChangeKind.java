package org.sardineport.core.publishing;

import java.util.Locale;

/**
 * Kind of change that a publication makes to a profile.
 */
public enum ChangeKind {

	/** The profile was not in force and is put in force. */
	PUBLISHED,

	/** The profile in force gets a new text. */
	REPLACED,

	/** The profile is taken out of force. */
	RETIRED;

	/**
	 * Returns the lower-case name, as the command line prints it.
	 * @return the label
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
