package org.sardineport.core.exchange;

import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.ProfileName;
import org.sardineport.core.journal.IdempotencyKey;
import org.sardineport.core.profile.OrganisationPolicy;
import org.sardineport.core.profile.Route;

/**
 * What the checks of a request's head found.
 *
 * @param profile name of the profile
 * @param route the route that applies
 * @param organisation what the profile grants the organisation
 * @param key the key, or {@code null} if the route asks for none
 */
public record Admission(ProfileName profile, Route route, OrganisationPolicy organisation,
		@Nullable IdempotencyKey key) {

	/**
	 * Creates the admission.
	 */
	public Admission {
		Objects.requireNonNull(profile, "profile must not be null");
		Objects.requireNonNull(route, "route must not be null");
		Objects.requireNonNull(organisation, "organisation must not be null");
	}

}
