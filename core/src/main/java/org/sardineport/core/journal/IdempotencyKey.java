package org.sardineport.core.journal;

import java.time.Instant;
import java.util.Objects;

import org.sardineport.core.identity.OrganisationId;

/**
 * Key by which the repetitions of one request are known. Keys of different organisations
 * never meet.
 *
 * @param organisation whose key it is
 * @param value the caller's text, 1 to 128 printable ASCII characters without spaces
 * @param issuedAt when the caller made it, from the key itself if it is a UUID version 7
 */
public record IdempotencyKey(OrganisationId organisation, String value, Instant issuedAt) {

	private static final int MAXIMUM_LENGTH = 128;

	/**
	 * Creates the key.
	 * @throws IllegalArgumentException if the text is empty, too long or not printable
	 * ASCII
	 */
	public IdempotencyKey {
		Objects.requireNonNull(organisation, "organisation must not be null");
		Objects.requireNonNull(value, "value must not be null");
		Objects.requireNonNull(issuedAt, "issuedAt must not be null");
		if (value.isEmpty() || value.length() > MAXIMUM_LENGTH
				|| !value.chars().allMatch((character) -> character > ' ' && character < 127)) {
			throw new IllegalArgumentException("key must be 1 to 128 printable ASCII characters without spaces");
		}
	}

}
