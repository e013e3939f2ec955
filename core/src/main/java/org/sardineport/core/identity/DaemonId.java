package org.sardineport.core.identity;

import org.jspecify.annotations.Nullable;

/**
 * Name of a daemon. A restarted daemon keeps its name and gets a new incarnation.
 *
 * @param value the daemon's name, 1 to 128 letters, digits, dots, dashes, colons or
 * underscores
 */
public record DaemonId(String value) implements Comparable<DaemonId> {

	/**
	 * Validates length and characters.
	 * @throws IllegalArgumentException if the value is empty, too long or contains other
	 * characters
	 */
	public DaemonId {
		NameValidator.validate(value, "daemon id");
	}

	/**
	 * Creates the identifier from its text form.
	 * @param value the text form
	 * @return the identifier
	 * @throws IllegalArgumentException if the text is empty, too long or contains other
	 * characters
	 */
	public static DaemonId of(String value) {
		return new DaemonId(value);
	}

	@Override
	public int compareTo(DaemonId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof DaemonId that && this.value.equals(that.value);
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
