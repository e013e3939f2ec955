package org.sardineport.core.publishing;

import java.util.List;
import java.util.Objects;

import org.sardineport.core.identity.ProfileName;

/**
 * Changes that a publication makes to one profile.
 *
 * @param profile the profile
 * @param kind kind of the change
 * @param lines one line per change, starting with {@code +} (added), {@code -} (removed)
 * or {@code ~} (modified); empty if routes and organisations are equal
 */
public record ProfileDifference(ProfileName profile, ChangeKind kind, List<String> lines) {

	/**
	 * Creates the difference with a copy of the lines.
	 */
	public ProfileDifference {
		Objects.requireNonNull(profile, "profile must not be null");
		Objects.requireNonNull(kind, "kind must not be null");
		lines = List.copyOf(lines);
	}

}
