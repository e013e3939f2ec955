package org.sardineport.core.configuration;

import java.util.Objects;

import org.sardineport.core.identity.ProfileName;

/**
 * Tells that a profile was retired.
 *
 * @param name the profile
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
