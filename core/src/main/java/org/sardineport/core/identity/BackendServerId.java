package org.sardineport.core.identity;

import org.jspecify.annotations.Nullable;

/**
 * Name of one backend server.
 *
 * @param value the backend server's name, 1 to 128 letters, digits, dots, dashes, colons
 * or underscores
 */
public record BackendServerId(String value) implements Comparable<BackendServerId> {

	/**
	 * Creates the name after a check of its characters.
	 * @throws IllegalArgumentException if the name is empty, too long or holds other
	 * characters
	 */
	public BackendServerId {
		Names.check(value, "backend server id");
	}

	/**
	 * Returns the name for the given text.
	 * @param value the text
	 * @return the name
	 * @throws IllegalArgumentException if the text is not a valid name
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
