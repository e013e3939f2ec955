package org.sardineport.core.profile;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.identity.ProfileName;

/**
 * Named configuration of routes and of the organisations that may use them. Immutable.
 *
 * @param name name of the profile
 * @param routes routes in matching order: the first match wins
 * @param organisations policies of the organisations that may use the profile
 */
public record Profile(ProfileName name, List<Route> routes, Map<OrganisationId, OrganisationPolicy> organisations) {

	/**
	 * Creates the profile with copies of the collections.
	 */
	public Profile {
		Objects.requireNonNull(name, "name must not be null");
		routes = List.copyOf(routes);
		organisations = Map.copyOf(organisations);
	}

	/**
	 * Returns the first route that matches a request.
	 * @param method the HTTP method of the request
	 * @param path path of the request, without query string
	 * @return the route, or empty if none matches
	 */
	public Optional<Route> route(String method, String path) {
		return this.routes.stream().filter((route) -> route.matches(method, path)).findFirst();
	}

	/**
	 * Returns the policy of an organisation.
	 * @param organisation the organisation
	 * @return the policy, or empty if the profile does not list it
	 */
	public Optional<OrganisationPolicy> organisation(OrganisationId organisation) {
		return Optional.ofNullable(this.organisations.get(organisation));
	}

}
