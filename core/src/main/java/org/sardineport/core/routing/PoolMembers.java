package org.sardineport.core.routing;

import java.util.List;

/**
 * Backend servers of a pool by the requests that they take.
 *
 * @param unbound those that take requests for any software version
 * @param bound those that take requests bound to their version
 */
public record PoolMembers(List<ServerView> unbound, List<ServerView> bound) {

	/**
	 * Creates the members from copies of the lists.
	 */
	public PoolMembers {
		unbound = List.copyOf(unbound);
		bound = List.copyOf(bound);
	}

	/**
	 * Returns members that all take every request.
	 * @param servers the backend servers
	 * @return the members
	 */
	public static PoolMembers all(List<ServerView> servers) {
		return new PoolMembers(servers, servers);
	}

}
