package org.sardineport.core.journal;

import java.time.Instant;
import java.util.Objects;

import org.sardineport.core.identity.OrganisationId;

/**
 * Key that identifies the retries of one request. Keys of different organisations are
 * distinct.
 *
 * @param organisation organisation to which the key belongs
 * @param value the caller's text, 1 to 128 printable ASCII characters without spaces
 * @param issuedAt time at which the caller created the key, taken from the key itself if
 * it is a UUID version 7
 */
public record IdempotencyKey(OrganisationId organisation, String value, Instant issuedAt) {

	private static final int MAX_LENGTH = 128;

	/**
	 * Creates the key.
	 * @throws IllegalArgumentException if the text is empty, too long or not printable
	 * ASCII
	 */
	public IdempotencyKey {
		Objects.requireNonNull(organisation, "organisation must not be null");
		Objects.requireNonNull(value, "value must not be null");
		Objects.requireNonNull(issuedAt, "issuedAt must not be null");
		if (value.isEmpty() || value.length() > MAX_LENGTH
				|| !value.chars().allMatch((character) -> character > ' ' && character < 127)) {
			throw new IllegalArgumentException("key must be 1 to 128 printable ASCII characters without spaces");
		}
	}

}
