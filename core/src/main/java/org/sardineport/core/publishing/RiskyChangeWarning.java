package org.sardineport.core.publishing;

import java.util.Objects;

import org.sardineport.core.identity.ProfileName;

/**
 * Warning that a change to a profile is probably a mistake.
 *
 * @param riskyChange kind of the change
 * @param profile profile that is changed
 * @param place part of the profile that is changed, such as {@code organisation acme}
 */
public record RiskyChangeWarning(RiskyChange riskyChange, ProfileName profile, String place) {

	/**
	 * Creates the warning; no component may be null.
	 */
	public RiskyChangeWarning {
		Objects.requireNonNull(riskyChange, "riskyChange must not be null");
		Objects.requireNonNull(profile, "profile must not be null");
		Objects.requireNonNull(place, "place must not be null");
	}

	@Override
	public String toString() {
		return "%s: %s: %s; %s".formatted(this.profile, this.riskyChange.label(), this.place,
				this.riskyChange.consequence());
	}

}
