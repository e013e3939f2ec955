package org.sardineport.core.configuration;

import org.sardineport.core.error.InvalidDocumentException;
import org.sardineport.core.profile.Profile;

/**
 * Parses profiles. Implementations must be deterministic and free of side effects: the
 * same text must give the same result on every daemon. Safe for use by any thread.
 */
public interface ProfileParser {

	/**
	 * Parses a profile.
	 * @param text source text of the profile
	 * @return the profile
	 * @throws InvalidDocumentException if the text has faults
	 */
	Profile parse(String text) throws InvalidDocumentException;

}
