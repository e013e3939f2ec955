package org.sardineport.core.configuration;

import java.util.Objects;

import org.sardineport.core.identity.ProfileName;

/**
 * Change to the text of a profile.
 *
 * @param name name of the profile
 * @param from version of the previous text
 * @param changedAt version of the new text
 * @param patch difference between the two texts
 */
public record ProfilePatch(ProfileName name, long from, long changedAt, TextPatch patch) {

	/**
	 * Creates the change.
	 */
	public ProfilePatch {
		Objects.requireNonNull(name, "name must not be null");
		Objects.requireNonNull(patch, "patch must not be null");
	}

}
