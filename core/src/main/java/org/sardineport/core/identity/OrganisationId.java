package org.sardineport.core.identity;

import org.jspecify.annotations.Nullable;

/**
 * Name of a customer organisation.
 *
 * @param value the organisation's name, 1 to 128 letters, digits, dots, dashes, colons or
 * underscores
 */
public record OrganisationId(String value) implements Comparable<OrganisationId> {

	/**
	 * Creates the name after a check of its characters.
	 * @throws IllegalArgumentException if the name is empty, too long or holds other
	 * characters
	 */
	public OrganisationId {
		Names.check(value, "organisation");
	}

	/**
	 * Returns the name for the given text.
	 * @param value the text
	 * @return the name
	 * @throws IllegalArgumentException if the text is not a valid name
	 */
	public static OrganisationId of(String value) {
		return new OrganisationId(value);
	}

	@Override
	public int compareTo(OrganisationId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof OrganisationId that && this.value.equals(that.value);
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
