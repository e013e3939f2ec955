package org.sardineport.core.relay;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import org.sardineport.core.identity.PoolName;

/**
 * One version of the operators' configuration of forwarded requests: routes,
 * organisations with their keys, pools and limits on callers. Immutable.
 */
public final class RelayConfiguration {

	/** Empty configuration that applies before the first one has been read. */
	public static final RelayConfiguration NONE = new RelayConfiguration(0, List.of(), CallerKeys.notRequired(),
			List.of(), CallerLimits.NONE);

	private final long version;

	private final Map<String, HostRoutes> routesByHost;

	private final CallerKeys callerKeys;

	private final Map<PoolName, RelayPool> pools;

	private final CallerLimits callerLimits;

	private RelayConfiguration(long version, Collection<RelayRoute> routes, CallerKeys callerKeys,
			Collection<RelayPool> pools, CallerLimits callerLimits) {
		this.version = version;
		this.callerKeys = callerKeys;
		this.callerLimits = callerLimits;
		this.routesByHost = new HashMap<>();
		this.pools = new HashMap<>();
		for (RelayRoute route : routes) {
			this.routesByHost.computeIfAbsent(hostKey(route.host()), (host) -> new HostRoutes()).add(route);
		}
		pools.forEach((pool) -> this.pools.put(pool.name(), pool));
	}

	private RelayConfiguration(RelayConfiguration other, CallerKeys callerKeys) {
		this.version = other.version;
		this.routesByHost = other.routesByHost;
		this.callerKeys = callerKeys;
		this.pools = other.pools;
		this.callerLimits = other.callerLimits;
	}

	/**
	 * Returns a configuration with the given contents.
	 * @param version its version, above 0
	 * @param routes all routes; of two with the same host and path prefix the last one
	 * applies
	 * @param callerKeys the keys of callers
	 * @param pools the pools
	 * @param callerLimits limits on callers' requests and connections
	 * @return the configuration
	 */
	public static RelayConfiguration of(long version, Collection<RelayRoute> routes, CallerKeys callerKeys,
			Collection<RelayPool> pools, CallerLimits callerLimits) {
		return new RelayConfiguration(version, routes, callerKeys, pools, callerLimits);
	}

	/**
	 * Returns this configuration without the keys that another version does not have.
	 * @param names names of the organisations by their keys in the other version
	 * @return the configuration, with the same version number
	 */
	RelayConfiguration retainKeys(Map<String, String> names) {
		return new RelayConfiguration(this, this.callerKeys.retain(names));
	}

	/**
	 * Returns the version number, which grows with each change.
	 * @return the version; 0 for {@link #NONE}
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns whether this is {@link #NONE}, the state before the first read.
	 * @return {@code true} if no configuration has been read
	 */
	public boolean isNone() {
		return this.version == 0;
	}

	/**
	 * Returns the limits on callers' requests and connections.
	 * @return the limits
	 */
	public CallerLimits callerLimits() {
		return this.callerLimits;
	}

	/**
	 * Returns the keys by which callers prove their organisation.
	 * @return the keys, and whether callers need one
	 */
	public CallerKeys callerKeys() {
		return this.callerKeys;
	}

	/**
	 * Finds the route with the longest matching path prefix.
	 * @param host host named by the caller, in any case, with or without a port
	 * @param path path without the query
	 * @return the route, or empty if none matches
	 */
	public Optional<RelayRoute> route(String host, String path) {
		HostRoutes routes = this.routesByHost.get(hostKey(host));
		return (routes != null) ? routes.find(path) : Optional.empty();
	}

	/**
	 * Finds a pool by its name.
	 * @param name the name
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
