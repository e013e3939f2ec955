package org.sardineport.core.configuration;

import java.util.Objects;

import org.sardineport.core.identity.ProfileName;

/**
 * Source text of a profile as written by an operator.
 *
 * @param name name of the profile
 * @param text source text, not parsed yet
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
