package org.sardineport.core.configuration;

import java.util.Objects;

import org.sardineport.core.profile.Profile;

/**
 * A profile in force, with its text.
 *
 * @param text its text
 * @param changedAt version that published or replaced it
 * @param profile the profile
 */
public record StoredProfile(String text, long changedAt, Profile profile) {

	/**
	 * Creates the stored profile.
	 */
	public StoredProfile {
		Objects.requireNonNull(text, "text must not be null");
		Objects.requireNonNull(profile, "profile must not be null");
	}

}
