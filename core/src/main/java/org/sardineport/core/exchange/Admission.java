package org.sardineport.core.exchange;

import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.ProfileName;
import org.sardineport.core.journal.IdempotencyKey;
import org.sardineport.core.profile.OrganisationPolicy;
import org.sardineport.core.profile.Route;

/**
 * Result of checking a request's head: the profile, route, organisation and key that
 * apply to it.
 *
 * @param profile name of the profile
 * @param route the route of the request
 * @param organisation the policy of the profile for the organisation
 * @param key the idempotency key, or {@code null} if the route requires none
 */
public record Admission(ProfileName profile, Route route, OrganisationPolicy organisation,
		@Nullable IdempotencyKey key) {

	/**
	 * Creates the admission; all values except {@code key} are mandatory.
	 */
	public Admission {
		Objects.requireNonNull(profile, "profile must not be null");
		Objects.requireNonNull(route, "route must not be null");
		Objects.requireNonNull(organisation, "organisation must not be null");
	}

}
