package org.sardineport.core.publishing;

import java.util.Objects;

import org.sardineport.core.identity.ProfileName;

/**
 * A warning that a change is probably not meant.
 *
 * @param slip kind of the change
 * @param profile the profile
 * @param place what in the profile changes
 */
public record SlipWarning(Slip slip, ProfileName profile, String place) {

	/**
	 * Creates the warning.
	 */
	public SlipWarning {
		Objects.requireNonNull(slip, "slip must not be null");
		Objects.requireNonNull(profile, "profile must not be null");
		Objects.requireNonNull(place, "place must not be null");
	}

	@Override
	public String toString() {
		return "%s: %s: %s; %s".formatted(this.profile, this.slip.label(), this.place, this.slip.consequence());
	}

}
