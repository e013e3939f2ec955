package org.sardineport.core.identity;

import org.jspecify.annotations.Nullable;

/**
 * Name under which operators publish a profile and services pick it.
 *
 * @param value the profile's name, 1 to 128 letters, digits, dots, dashes, colons or
 * underscores
 */
public record ProfileName(String value) implements Comparable<ProfileName> {

	/**
	 * Creates the name after a check of its characters.
	 * @throws IllegalArgumentException if the name is empty, too long or holds other
	 * characters
	 */
	public ProfileName {
		Names.check(value, "profile name");
	}

	/**
	 * Returns the name for the given text.
	 * @param value the text
	 * @return the name
	 * @throws IllegalArgumentException if the text is not a valid name
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
