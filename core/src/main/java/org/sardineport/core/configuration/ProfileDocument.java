package org.sardineport.core.configuration;

import java.util.Objects;

import org.sardineport.core.identity.ProfileName;

/**
 * The text of a profile, as an operator wrote it.
 *
 * @param name name of the profile
 * @param text its text
 */
public record ProfileDocument(ProfileName name, String text) {

	/**
	 * Creates the document.
	 */
	public ProfileDocument {
		Objects.requireNonNull(name, "name must not be null");
		Objects.requireNonNull(text, "text must not be null");
	}

}
