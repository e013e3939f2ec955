package org.sardineport.core.scheduling;

import java.time.Duration;
import java.util.Objects;

import org.sardineport.core.identity.OrganisationId;

/**
 * Message from quota owner to entry: leases tokens of an organisation's limit.
 *
 * @param organisation the organisation
 * @param tokens tokens that the entry may spend
 * @param valid time within which they may be spent
 * @param sequence sequence number of the request to which this is the response
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
