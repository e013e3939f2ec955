package org.sardineport.core.configuration;

import java.util.Objects;

/**
 * A profile in an image, with its full text.
 *
 * @param document name and text of the profile
 * @param changedAt version that published or last replaced the profile
 */
public record ImageProfile(ProfileDocument document, long changedAt) {

	/**
	 * Creates the profile.
	 */
	public ImageProfile {
		Objects.requireNonNull(document, "document must not be null");
	}

}
