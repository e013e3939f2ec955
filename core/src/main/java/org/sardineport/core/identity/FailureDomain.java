package org.sardineport.core.identity;

import org.jspecify.annotations.Nullable;

/**
 * Name of a failure domain: what fails together.
 *
 * @param value the failure domain's name, 1 to 128 letters, digits, dots, dashes, colons
 * or underscores
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {

	/**
	 * Creates the name after a check of its characters.
	 * @throws IllegalArgumentException if the name is empty, too long or holds other
	 * characters
	 */
	public FailureDomain {
		Names.check(value, "failure domain");
	}

	/**
	 * Returns the name for the given text.
	 * @param value the text
	 * @return the name
	 * @throws IllegalArgumentException if the text is not a valid name
	 */
	public static FailureDomain of(String value) {
		return new FailureDomain(value);
	}

	@Override
	public int compareTo(FailureDomain other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof FailureDomain that && this.value.equals(that.value);
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
