package org.sardineport.core.relay;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import org.sardineport.core.identity.PoolName;

/**
 * One version of what the operators configured. Immutable.
 */
public final class RelayConfiguration {

	/** What is known before any configuration was read. */
	public static final RelayConfiguration NONE = new RelayConfiguration(0, List.of(), Map.of(), List.of(),
			CallerLimits.NONE);

	private final long version;

	private final Map<String, Map<String, RelayRoute>> routesByHost = new HashMap<>();

	private final Map<String, RelayOrganisation> organisationsByKey;

	private final Map<PoolName, RelayPool> pools = new HashMap<>();

	private final CallerLimits callerLimits;

	private RelayConfiguration(long version, Collection<RelayRoute> routes,
			Map<String, RelayOrganisation> organisationsByKey, Collection<RelayPool> pools, CallerLimits callerLimits) {
		this.version = version;
		this.organisationsByKey = Map.copyOf(organisationsByKey);
		this.callerLimits = callerLimits;
		for (RelayRoute route : routes) {
			this.routesByHost.computeIfAbsent(hostKey(route.host()), (host) -> new HashMap<>())
				.put(route.pathPrefix(), route);
		}
		pools.forEach((pool) -> this.pools.put(pool.name(), pool));
	}

	/**
	 * Returns a configuration.
	 * @param version its version, above 0
	 * @param routes all routes
	 * @param organisationsByKey the organisations by the keys that their callers send;
	 * empty if callers need no key
	 * @param pools the pools
	 * @param callerLimits limits of what callers send
	 * @return the configuration
	 */
	public static RelayConfiguration of(long version, Collection<RelayRoute> routes,
			Map<String, RelayOrganisation> organisationsByKey, Collection<RelayPool> pools, CallerLimits callerLimits) {
		return new RelayConfiguration(version, routes, organisationsByKey, pools, callerLimits);
	}

	/**
	 * Returns the version.
	 * @return the version; 0 for none
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns whether this is what is known before any configuration was read.
	 * @return whether there is no configuration
	 */
	public boolean isNone() {
		return this.version == 0;
	}

	/**
	 * Returns the limits of what callers send.
	 * @return the limits
	 */
	public CallerLimits callerLimits() {
		return this.callerLimits;
	}

	/**
	 * Returns whether callers of routes that are not open must send a key.
	 * @return whether there are organisations
	 */
	public boolean hasOrganisations() {
		return !this.organisationsByKey.isEmpty();
	}

	/**
	 * Finds the route with the longest prefix. Takes one look-up for each slash of the
	 * path, whatever the number of routes.
	 * @param host host that the caller names, with or without a port
	 * @param path path without a query
	 * @return the route, or empty if none matches
	 */
	public Optional<RelayRoute> route(String host, String path) {
		Map<String, RelayRoute> routes = this.routesByHost.get(hostKey(host));
		if (routes == null) {
			return Optional.empty();
		}
		for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
			RelayRoute route = routes.get(path.substring(0, slash + 1));
			if (route != null) {
				return Optional.of(route);
			}
		}
		return Optional.empty();
	}

	/**
	 * Finds the organisation that holds a key.
	 * @param key the key
	 * @return the organisation, or empty if none holds it
	 */
	public Optional<RelayOrganisation> organisation(String key) {
		return Optional.ofNullable(this.organisationsByKey.get(key));
	}

	/**
	 * Finds a pool.
	 * @param name its name
	 * @return the pool, or empty if it is not configured
	 */
	public Optional<RelayPool> pool(PoolName name) {
		return Optional.ofNullable(this.pools.get(name));
	}

	private static String hostKey(String host) {
		int colon = host.indexOf(':');
		return ((colon < 0) ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
	}

}
