package org.sardineport.core.identity;

import org.jspecify.annotations.Nullable;

/**
 * Name of a pool of interchangeable backend servers, such as all workers of one model.
 *
 * @param value the pool's name, 1 to 128 letters, digits, dots, dashes, colons or
 * underscores
 */
public record PoolName(String value) implements Comparable<PoolName> {

	/**
	 * Creates the name after a check of its characters.
	 * @throws IllegalArgumentException if the name is empty, too long or holds other
	 * characters
	 */
	public PoolName {
		Names.check(value, "pool name");
	}

	/**
	 * Returns the name for the given text.
	 * @param value the text
	 * @return the name
	 * @throws IllegalArgumentException if the text is not a valid name
	 */
	public static PoolName of(String value) {
		return new PoolName(value);
	}

	@Override
	public int compareTo(PoolName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof PoolName that && this.value.equals(that.value);
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
