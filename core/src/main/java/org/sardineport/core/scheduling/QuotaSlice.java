package org.sardineport.core.scheduling;

import java.time.Duration;
import java.util.Objects;

import org.sardineport.core.identity.OrganisationId;

/**
 * Quota owner to entry: tokens leased.
 *
 * @param organisation the organisation
 * @param tokens tokens that the entry may spend
 * @param valid time within which they may be spent
 * @param sequence sequence of the request that this answers
 */
public record QuotaSlice(OrganisationId organisation, long tokens, Duration valid,
		long sequence) implements SchedulingMessage {

	/**
	 * Creates the record.
	 */
	public QuotaSlice {
		Objects.requireNonNull(organisation, "organisation must not be null");
		Objects.requireNonNull(valid, "valid must not be null");
	}

}
