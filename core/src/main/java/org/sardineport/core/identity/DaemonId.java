package org.sardineport.core.identity;

import org.jspecify.annotations.Nullable;

/**
 * Name of one daemon; a restarted daemon keeps its name and takes a new incarnation.
 *
 * @param value the daemon's name, 1 to 128 letters, digits, dots, dashes, colons or
 * underscores
 */
public record DaemonId(String value) implements Comparable<DaemonId> {

	/**
	 * Creates the name after a check of its characters.
	 * @throws IllegalArgumentException if the name is empty, too long or holds other
	 * characters
	 */
	public DaemonId {
		Names.check(value, "daemon id");
	}

	/**
	 * Returns the name for the given text.
	 * @param value the text
	 * @return the name
	 * @throws IllegalArgumentException if the text is not a valid name
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
