package org.sardineport.core.relay;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;

/**
 * Which backend servers this daemon cannot reach directly although another daemon can,
 * and which daemons it asks to carry its connections. Says nothing about the health of
 * the backend servers. All times are milliseconds of the same clock. Not thread-safe.
 */
public final class BackendPaths {

	/** Interval between checks of a lost path, in milliseconds. */
	private static final long CHECK_INTERVAL_MILLIS = 500;

	/**
	 * Time for which a daemon that could not carry a connection is avoided, in
	 * milliseconds.
	 */
	private static final long AVOIDED_MILLIS = 1000;

	private final RandomGenerator random;

	/** The lost paths, each with the time of its next check. */
	private final Map<BackendServerId, Long> lost = new LinkedHashMap<>();

	private final Map<DaemonId, Long> avoidedUntil = new HashMap<>();

	private BackendPaths(RandomGenerator random) {
		this.random = Objects.requireNonNull(random, "random must not be null");
	}

	/**
	 * Returns paths of which none is lost.
	 * @param random spreads the connections over the other daemons
	 * @return the paths
	 */
	public static BackendPaths create(RandomGenerator random) {
		return new BackendPaths(random);
	}

	/**
	 * Returns whether the path to a backend server is lost.
	 * @param server the backend server
	 * @return whether connections to it must be carried by another daemon
	 */
	public boolean isLost(BackendServerId server) {
		return this.lost.containsKey(server);
	}

	/**
	 * Returns whether the path to any backend server is lost.
	 * @return whether there is one to check
	 */
	public boolean isAnyLost() {
		return !this.lost.isEmpty();
	}

	/**
	 * Records that a backend server could not be reached, and another daemon reached it.
	 * @param server the backend server
	 * @param now the current time
	 * @return whether its path was not known to be lost
	 */
	public boolean recordLost(BackendServerId server, long now) {
		return this.lost.putIfAbsent(server, now + CHECK_INTERVAL_MILLIS) == null;
	}

	/**
	 * Records that a backend server was reached directly.
	 * @param server the backend server
	 * @return whether its path was lost
	 */
	public boolean recordReached(BackendServerId server) {
		return this.lost.remove(server) != null;
	}

	/**
	 * Returns the lost paths that are due for a check, and sets the time of the next one.
	 * Forgets backend servers that are no longer listed.
	 * @param listed the backend servers that are listed
	 * @param now the current time
	 * @return the backend servers to which a direct connection should be tried
	 */
	public List<BackendServer> takeDueChecks(Collection<BackendServer> listed, long now) {
		if (this.lost.isEmpty()) {
			return List.of();
		}
		this.lost.keySet().retainAll(listed.stream().map(BackendServer::id).toList());
		List<BackendServer> due = listed.stream()
			.filter((server) -> this.lost.getOrDefault(server.id(), Long.MAX_VALUE) <= now)
			.toList();
		due.forEach((server) -> this.lost.put(server.id(), now + CHECK_INTERVAL_MILLIS));
		return due;
	}

	/**
	 * Records that a daemon could not carry a connection.
	 * @param helper the daemon
	 * @param now the current time
	 */
	public void recordFailure(DaemonId helper, long now) {
		this.avoidedUntil.put(helper, now + AVOIDED_MILLIS);
	}

	/**
	 * Chooses the daemon that carries a connection: one in the failure domain of the
	 * backend server if possible, as traffic between failure domains is dear.
	 * @param server the backend server
	 * @param fleet the view of the fleet
	 * @param asked daemons that were asked for this connection already
	 * @param now the current time
	 * @return the daemon, or empty if none remains to be asked
	 */
	public Optional<Member> helper(BackendServer server, FleetSnapshot fleet, Collection<DaemonId> asked, long now) {
		this.avoidedUntil.values().removeIf((until) -> until <= now);
		List<Member> candidates = fleet.members()
			.stream()
			.filter((member) -> member.status() == MemberStatus.ALIVE && !member.id().equals(fleet.self())
					&& !asked.contains(member.id()))
			.toList();
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		int start = this.random.nextInt(candidates.size());
		Comparator<Member> order = Comparator.comparing((Member member) -> this.avoidedUntil.containsKey(member.id()))
			.thenComparing((member) -> !member.failureDomain().equals(server.failureDomain()))
			.thenComparing((member) -> Math.floorMod(candidates.indexOf(member) - start, candidates.size()));
		return candidates.stream().min(order);
	}

}
