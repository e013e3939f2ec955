package org.sardineport.core.configuration;

import java.util.Objects;

import org.sardineport.core.identity.ProfileName;

/**
 * Retirement of a profile.
 *
 * @param name name of the profile
 * @param version version that retired it
 */
public record Retirement(ProfileName name, long version) {

	/**
	 * Creates the retirement.
	 */
	public Retirement {
		Objects.requireNonNull(name, "name must not be null");
	}

}
