package org.sardineport.core.identity;

import org.jspecify.annotations.Nullable;

/**
 * Identity of one request, unique in the fleet.
 *
 * @param value the request's identity, 1 to 128 letters, digits, dots, dashes, colons or
 * underscores
 */
public record RequestId(String value) implements Comparable<RequestId> {

	/**
	 * Creates the name after a check of its characters.
	 * @throws IllegalArgumentException if the name is empty, too long or holds other
	 * characters
	 */
	public RequestId {
		Names.check(value, "request id");
	}

	/**
	 * Returns the name for the given text.
	 * @param value the text
	 * @return the name
	 * @throws IllegalArgumentException if the text is not a valid name
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
