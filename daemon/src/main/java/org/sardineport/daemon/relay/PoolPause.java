package org.sardineport.daemon.relay;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Set;

import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.relay.BackendPauses;

/**
 * Pauses of the backend servers of a pool that may run a request, at one moment.
 *
 * @param servers the backend servers that are paused
 * @param untilFirst time until one of all may be sent requests; zero if one may be now
 * @param slots number of requests that all can run at once
 */
record PoolPause(Set<BackendServerId> servers, Duration untilFirst, long slots) {

	private static final PoolPause NONE = new PoolPause(Set.of(), Duration.ZERO, 0);

	/**
	 * Returns the pauses of a pool now.
	 * @param services the fleet and the pauses
	 * @param pool the pool
	 * @param version the software version that may run the request
	 * @return the pauses
	 */
	static PoolPause now(RelayServices services, PoolName pool, ResponseVersion version) {
		BackendPauses pauses = services.notices().pauses();
		if (!pauses.isAnyPaused()) {
			return NONE;
		}
		List<BackendServer> eligible = services.fleet()
			.current()
			.backendServers()
			.stream()
			.filter((server) -> server.pool().equals(pool) && version.allows(server.softwareVersion()))
			.toList();
		return new PoolPause(pauses.among(eligible), pauses.untilFirst(eligible),
				eligible.stream().mapToLong(BackendServer::nominalConcurrency).sum());
	}

	/**
	 * Returns how many requests this daemon may let wait for the end of the pause: its
	 * part of those that can begin at once.
	 * @param members the daemons of the fleet
	 * @return the number, rounded up
	 */
	int share(Collection<Member> members) {
		long daemons = members.stream().filter((member) -> member.status() == MemberStatus.ALIVE).count();
		return (int) Math.min(Integer.MAX_VALUE, 1 + (this.slots - 1) / Math.max(1, daemons));
	}

	/**
	 * Returns whether all backend servers of the pool are paused.
	 * @return {@code false} if one may be sent requests, or the pool has none
	 */
	boolean isWhole() {
		return !this.untilFirst.isZero();
	}

}
