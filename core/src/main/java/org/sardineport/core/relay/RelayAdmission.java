package org.sardineport.core.relay;

import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.request.Tier;

/**
 * Result of admitting a request: the configuration, route and organisation that apply to
 * it until it ends, even if a newer configuration comes into force.
 *
 * @param configuration the configuration under which the request was admitted
 * @param route the request's route
 * @param organisation the organisation that sent the request, or {@code null} if no key
 * is required
 */
public record RelayAdmission(RelayConfiguration configuration, RelayRoute route,
		@Nullable RelayOrganisation organisation) {

	/**
	 * Creates the admission; configuration and route are mandatory.
	 */
	public RelayAdmission {
		Objects.requireNonNull(configuration, "configuration must not be null");
		Objects.requireNonNull(route, "route must not be null");
	}

	/**
	 * Returns the tier in which the request is scheduled.
	 * @return the tier of the route, by the rank of the organisation if there is one
	 */
	public Tier tier() {
		return this.route.tier((this.organisation != null) ? this.organisation.rank() : null);
	}

	/**
	 * Returns whether the request may run only while the configuration is fresh, because
	 * the caller's key may have been revoked.
	 * @return {@code true} if the request was admitted by a key
	 */
	public boolean requiresFreshConfiguration() {
		return this.organisation != null;
	}

}
