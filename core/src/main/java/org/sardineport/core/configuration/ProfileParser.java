package org.sardineport.core.configuration;

import org.sardineport.core.error.InvalidDocumentException;
import org.sardineport.core.profile.Profile;

/**
 * Turns the text of a profile into the profile. Pure and deterministic: the same text
 * gives the same result on every daemon. Safe for use by any thread.
 */
public interface ProfileParser {

	/**
	 * Parses a profile.
	 * @param text text of the profile
	 * @return the profile
	 * @throws InvalidDocumentException if the text has faults
	 */
	Profile parse(String text) throws InvalidDocumentException;

}
