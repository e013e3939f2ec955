package org.sardineport.core.scheduling;

import java.util.Objects;

import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.limit.OrganisationLimit;

/**
 * Message from entry to the quota owner of an organisation: requests tokens for the next
 * period.
 *
 * @param organisation the organisation
 * @param tokens requested tokens
 * @param limit fleet-wide limit that the entry applies
 * @param sequence number that increases with each message of the entry
 */
public record QuotaRequest(OrganisationId organisation, long tokens, OrganisationLimit limit,
		long sequence) implements SchedulingMessage {

	/**
	 * Creates the record.
	 */
	public QuotaRequest {
		Objects.requireNonNull(organisation, "organisation must not be null");
		Objects.requireNonNull(limit, "limit must not be null");
	}

}
