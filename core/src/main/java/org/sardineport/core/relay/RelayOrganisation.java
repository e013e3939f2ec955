package org.sardineport.core.relay;

import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.limit.OrganisationLimit;

/**
 * An organisation whose callers are served, with its priority and limit.
 *
 * @param id name of the organisation
 * @param rank urgency of its requests, overriding that of the route; 0 is the most
 * urgent; {@code null} to use that of the route
 * @param limit fleet-wide limit on its usage, counted in {@code unit}
 * @param unit unit of the limit
 * @param defaultRequestTokens tokens charged for a request of unknown size
 */
public record RelayOrganisation(OrganisationId id, @Nullable Integer rank, OrganisationLimit limit, LimitUnit unit,
		int defaultRequestTokens) {

	/**
	 * Creates the organisation; name, limit and unit are mandatory.
	 */
	public RelayOrganisation {
		Objects.requireNonNull(id, "id must not be null");
		Objects.requireNonNull(limit, "limit must not be null");
		Objects.requireNonNull(unit, "unit must not be null");
	}

	/**
	 * Returns the amount that a request is charged against the limit.
	 * @param size tokens of prompt and response together, or {@code null} if not known
	 * @return the charge in units of the limit
	 */
	public long cost(@Nullable Integer size) {
		return this.unit.cost((size != null) ? size : this.defaultRequestTokens);
	}

}
