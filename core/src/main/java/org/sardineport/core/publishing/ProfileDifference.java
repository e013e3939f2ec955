package org.sardineport.core.publishing;

import java.util.List;
import java.util.Objects;

import org.sardineport.core.identity.ProfileName;

/**
 * What a publication changes in one profile.
 *
 * @param profile the profile
 * @param kind what is done to it
 * @param lines the changes, each beginning with {@code +}, {@code -} or {@code ~}
 */
public record ProfileDifference(ProfileName profile, ChangeKind kind, List<String> lines) {

	/**
	 * Creates the difference.
	 */
	public ProfileDifference {
		Objects.requireNonNull(profile, "profile must not be null");
		Objects.requireNonNull(kind, "kind must not be null");
		lines = List.copyOf(lines);
	}

}
