package org.sardineport.core.scheduling;

import java.util.Objects;

import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.limit.OrganisationLimit;

/**
 * Entry to an organisation's quota owner: tokens wanted for the next period.
 *
 * @param organisation the organisation
 * @param tokens tokens wanted
 * @param limit fleet-wide limit under which the entry works
 * @param sequence grows with each message of the entry
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
