package org.sardineport.core.identity;

import org.jspecify.annotations.Nullable;

/**
 * Name of a failure domain, a group of VMs and servers that can fail together.
 *
 * @param value the failure domain's name, 1 to 128 letters, digits, dots, dashes, colons
 * or underscores
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {

	/**
	 * Validates length and characters.
	 * @throws IllegalArgumentException if the value is empty, too long or contains other
	 * characters
	 */
	public FailureDomain {
		NameValidator.validate(value, "failure domain");
	}

	/**
	 * Creates the identifier from its text form.
	 * @param value the text form
	 * @return the identifier
	 * @throws IllegalArgumentException if the text is empty, too long or contains other
	 * characters
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
