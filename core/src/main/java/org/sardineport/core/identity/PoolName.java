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
	 * Validates length and characters.
	 * @throws IllegalArgumentException if the value is empty, too long or contains other
	 * characters
	 */
	public PoolName {
		NameValidator.validate(value, "pool name");
	}

	/**
	 * Creates the identifier from its text form.
	 * @param value the text form
	 * @return the identifier
	 * @throws IllegalArgumentException if the text is empty, too long or contains other
	 * characters
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
