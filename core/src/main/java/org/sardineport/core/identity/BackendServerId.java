package org.sardineport.core.identity;

import org.jspecify.annotations.Nullable;

/**
 * Unique name of a backend server. A restarted backend server may keep its name.
 *
 * @param value the backend server's name, 1 to 128 letters, digits, dots, dashes, colons
 * or underscores
 */
public record BackendServerId(String value) implements Comparable<BackendServerId> {

	/**
	 * Validates length and characters.
	 * @throws IllegalArgumentException if the value is empty, too long or contains other
	 * characters
	 */
	public BackendServerId {
		NameValidator.validate(value, "backend server id");
	}

	/**
	 * Creates the identifier from its text form.
	 * @param value the text form
	 * @return the identifier
	 * @throws IllegalArgumentException if the text is empty, too long or contains other
	 * characters
	 */
	public static BackendServerId of(String value) {
		return new BackendServerId(value);
	}

	@Override
	public int compareTo(BackendServerId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof BackendServerId that && this.value.equals(that.value);
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
