package org.sardineport.core.publishing;

import java.util.Objects;

import org.sardineport.core.identity.ProfileName;

/**
 * Warning that a change to a profile is probably a mistake.
 *
 * @param slip kind of the change
 * @param profile profile that is changed
 * @param place part of the profile that is changed, such as {@code organisation acme}
 */
public record SlipWarning(Slip slip, ProfileName profile, String place) {

	/**
	 * Creates the warning; no component may be null.
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
