package org.sardineport.core.configuration;

import java.util.Objects;

import org.sardineport.core.identity.ProfileName;

/**
 * A change of a profile's text.
 *
 * @param name the profile
 * @param from version of the text before
 * @param changedAt version of the text after
 * @param patch how one becomes the other
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
