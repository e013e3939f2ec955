package org.sardineport.core.identity;

import org.jspecify.annotations.Nullable;

/**
 * Name under which operators publish a profile and services select it.
 *
 * @param value the profile's name, 1 to 128 letters, digits, dots, dashes, colons or
 * underscores
 */
public record ProfileName(String value) implements Comparable<ProfileName> {

	/**
	 * Validates length and characters.
	 * @throws IllegalArgumentException if the value is empty, too long or contains other
	 * characters
	 */
	public ProfileName {
		NameValidator.validate(value, "profile name");
	}

	/**
	 * Creates the identifier from its text form.
	 * @param value the text form
	 * @return the identifier
	 * @throws IllegalArgumentException if the text is empty, too long or contains other
	 * characters
	 */
	public static ProfileName of(String value) {
		return new ProfileName(value);
	}

	@Override
	public int compareTo(ProfileName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof ProfileName that && this.value.equals(that.value);
	}

	@Override
	public int hashCode() {
		return this.value.hashCode();
	}

	@Override
	public String toString() {
		return this.value;
	}

}
