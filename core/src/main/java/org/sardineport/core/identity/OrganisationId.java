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
	 * Validates length and characters.
	 * @throws IllegalArgumentException if the value is empty, too long or contains other
	 * characters
	 */
	public OrganisationId {
		NameValidator.validate(value, "organisation");
	}

	/**
	 * Creates the identifier from its text form.
	 * @param value the text form
	 * @return the identifier
	 * @throws IllegalArgumentException if the text is empty, too long or contains other
	 * characters
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
