package org.sardineport.daemon.http;

import java.util.List;

import org.sardineport.core.profile.Profile;
import org.sardineport.core.profile.Route;

/**
 * An active profile as shown to operators, without its token hashes.
 */
record ProfileJson(String name, List<RouteJson> routes, List<String> organisations) {

	static ProfileJson of(Profile profile) {
		return new ProfileJson(profile.name().value(), profile.routes().stream().map(RouteJson::of).toList(),
				profile.organisations().keySet().stream().sorted().map((id) -> id.value()).toList());
	}

	/**
	 * A route of the profile; the deadline is in milliseconds.
	 */
	record RouteJson(String method, String path, String pool, String tier, long deadlineMillis, boolean nonIdempotent,
			boolean durable) {

		private static RouteJson of(Route route) {
			return new RouteJson(route.method(), route.path(), route.pool().value(), route.tier().label(),
					route.deadline().toMillis(), route.nonIdempotent(), route.durable());
		}

	}

}
