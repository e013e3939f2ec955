package org.sardineport.daemon.relay;

import java.time.Duration;
import java.util.List;
import java.util.Set;

import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.relay.BackendPauses;

/**
 * Pauses of the backend servers of a pool that may run a request, at one moment.
 *
 * @param servers the backend servers that are paused
 * @param untilFirst time until one of all may be sent requests; zero if one may be now
 * @param share number of requests that this daemon may let wait for that: its part of
 * those that can begin at once
 */
record PoolPause(Set<BackendServerId> servers, Duration untilFirst, int share) {

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
		FleetSnapshot fleet = services.fleet().current();
		List<BackendServer> eligible = fleet.backendServers()
			.stream()
			.filter((server) -> server.pool().equals(pool) && version.allows(server.softwareVersion()))
			.toList();
		return new PoolPause(pauses.among(eligible), pauses.untilFirst(eligible), share(eligible, fleet));
	}

	private static int share(List<BackendServer> servers, FleetSnapshot fleet) {
		long slots = servers.stream().mapToLong(BackendServer::nominalConcurrency).sum();
		long daemons = fleet.members().stream().filter((member) -> member.status() == MemberStatus.ALIVE).count();
		return (int) Math.min(Integer.MAX_VALUE, 1 + (slots - 1) / Math.max(1, daemons));
	}

	/**
	 * Returns whether all backend servers of the pool are paused.
	 * @return {@code false} if one may be sent requests, or the pool has none
	 */
	boolean isWhole() {
		return !this.untilFirst.isZero();
	}

}
