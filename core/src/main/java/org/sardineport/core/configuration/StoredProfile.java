package org.sardineport.core.configuration;

import java.util.Objects;

import org.sardineport.core.profile.Profile;

/**
 * A profile in force together with its source text.
 *
 * @param text source text of the profile
 * @param changedAt version that published or last replaced the profile
 * @param profile the parsed profile
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
