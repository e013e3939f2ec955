package org.sardineport.core.configuration;

import java.util.Objects;

/**
 * A profile of an image.
 *
 * @param document its name and text
 * @param changedAt version that published or replaced it
 */
public record ImageProfile(ProfileDocument document, long changedAt) {

	/**
	 * Creates the profile.
	 */
	public ImageProfile {
		Objects.requireNonNull(document, "document must not be null");
	}

}
