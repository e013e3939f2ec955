package org.sardineport.core.relay;

import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.limit.OrganisationLimit;

/**
 * An organisation whose callers are served.
 *
 * @param id its name
 * @param rank urgency of its requests whatever their route says, or {@code null}
 * @param limit fleet-wide limit on what it may use, in its units
 * @param unit what the limit counts
 * @param tokensOfPlainRequest tokens that a request counts for which no size is known
 */
public record RelayOrganisation(OrganisationId id, @Nullable Integer rank, OrganisationLimit limit, LimitUnit unit,
		int tokensOfPlainRequest) {

	/**
	 * Creates the organisation.
	 */
	public RelayOrganisation {
		Objects.requireNonNull(id, "id must not be null");
		Objects.requireNonNull(limit, "limit must not be null");
		Objects.requireNonNull(unit, "unit must not be null");
	}

	/**
	 * Returns what a request takes from the limit.
	 * @param size tokens of prompt and answer together, or {@code null} if not known
	 * @return units
	 */
	public long cost(@Nullable Integer size) {
		return this.unit.cost((size != null) ? size : this.tokensOfPlainRequest);
	}

}
