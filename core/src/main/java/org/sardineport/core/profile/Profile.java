package org.sardineport.core.profile;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.identity.ProfileName;

/**
 * A named set of routes and organisations. Immutable.
 *
 * @param name its name
 * @param routes routes in the order in which they are tried
 * @param organisations organisations that may use the profile
 */
public record Profile(ProfileName name, List<Route> routes, Map<OrganisationId, OrganisationPolicy> organisations) {

	/**
	 * Creates the profile.
	 */
	public Profile {
		Objects.requireNonNull(name, "name must not be null");
		routes = List.copyOf(routes);
		organisations = Map.copyOf(organisations);
	}

	/**
	 * Returns the first route for a request.
	 * @param method method of the request
	 * @param path path of the request, without its query
	 * @return the route, or empty if none matches
	 */
	public Optional<Route> route(String method, String path) {
		return this.routes.stream().filter((route) -> route.matches(method, path)).findFirst();
	}

	/**
	 * Returns what the profile grants an organisation.
	 * @param organisation the organisation
	 * @return the policy, or empty if the profile does not list it
	 */
	public Optional<OrganisationPolicy> organisation(OrganisationId organisation) {
		return Optional.ofNullable(this.organisations.get(organisation));
	}

}
