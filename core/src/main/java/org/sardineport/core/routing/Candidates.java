package org.sardineport.core.routing;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.sardineport.core.backend.SoftwareVersion;

/**
 * Backend servers of a pool among which a request is routed: all, or those of one
 * software version. Immutable, apart from the views themselves.
 *
 * @param servers the backend servers; the array is not copied and must not be changed
 * @param owned the first few of those that this daemon owns; not copied either
 */
record Candidates(ServerView[] servers, ServerView[] owned) {

	/** Maximum number of owned backend servers that are compared in a large pool. */
	private static final int MAX_OWNED = 6;

	static Candidates of(Collection<ServerView> servers, Collection<ServerView> owned) {
		return new Candidates(servers.toArray(ServerView[]::new),
				owned.stream().limit(MAX_OWNED).toArray(ServerView[]::new));
	}

	/**
	 * Returns the candidates for requests that require a software version.
	 * @param servers backend servers of the pool
	 * @param owned those of them whose permits this daemon grants
	 * @return the candidates of each version that is listed
	 */
	static Map<SoftwareVersion, Candidates> byVersion(List<ServerView> servers, List<ServerView> owned) {
		Map<SoftwareVersion, List<ServerView>> versions = servers.stream()
			.collect(Collectors.groupingBy(Candidates::version));
		Map<SoftwareVersion, Candidates> candidates = new LinkedHashMap<>();
		versions.forEach((version, members) -> candidates.put(version, of(members, withVersion(owned, version))));
		return candidates;
	}

	private static List<ServerView> withVersion(List<ServerView> views, SoftwareVersion version) {
		Stream<ServerView> matching = views.stream().filter((view) -> version(view).equals(version));
		return matching.toList();
	}

	private static SoftwareVersion version(ServerView view) {
		return view.server().softwareVersion();
	}

}
