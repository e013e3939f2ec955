package org.sardineport.core.identity;

import org.jspecify.annotations.Nullable;

/**
 * Identifier of a request, unique in the fleet.
 *
 * @param value the request's identifier, 1 to 128 letters, digits, dots, dashes, colons
 * or underscores
 */
public record RequestId(String value) implements Comparable<RequestId> {

	/**
	 * Validates length and characters.
	 * @throws IllegalArgumentException if the value is empty, too long or contains other
	 * characters
	 */
	public RequestId {
		NameValidator.validate(value, "request id");
	}

	/**
	 * Creates the identifier from its text form.
	 * @param value the text form
	 * @return the identifier
	 * @throws IllegalArgumentException if the text is empty, too long or contains other
	 * characters
	 */
	public static RequestId of(String value) {
		return new RequestId(value);
	}

	@Override
	public int compareTo(RequestId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof RequestId that && this.value.equals(that.value);
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
