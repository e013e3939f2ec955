package org.sardineport.core.relay;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * The routes of one host by their path prefixes, each of which ends with a slash. A
 * look-up takes work in proportion to the configuration, whatever path a caller sends.
 * Not safe for use while routes are added.
 */
final class HostRoutes {

	private final Map<String, RelayRoute> byPrefix = new HashMap<>();

	/** Lengths of the prefixes, the longest first. */
	private final SortedSet<Integer> lengths = new TreeSet<>(Comparator.reverseOrder());

	/**
	 * Adds a route. Of two with the same prefix the last one applies.
	 * @param route the route
	 */
	void add(RelayRoute route) {
		this.byPrefix.put(route.pathPrefix(), route);
		this.lengths.add(route.pathPrefix().length());
	}

	/**
	 * Finds the route with the longest matching prefix. Takes at most one look-up for
	 * each length of a prefix.
	 * @param path path without the query
	 * @return the route, or empty if none matches
	 */
	Optional<RelayRoute> find(String path) {
		for (int length : this.lengths) {
			if (path.length() >= length && path.charAt(length - 1) == '/') {
				RelayRoute route = this.byPrefix.get(path.substring(0, length));
				if (route != null) {
					return Optional.of(route);
				}
			}
		}
		return Optional.empty();
	}

}
