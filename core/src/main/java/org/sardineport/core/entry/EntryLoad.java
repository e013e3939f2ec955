package org.sardineport.core.entry;

import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.fleet.FleetSnapshot;

/**
 * Load of a daemon, as it reports it to the others: its requests in flight relative to
 * its even share of the requests that the backend servers can run and queue.
 */
public final class EntryLoad {

	private static final int FULL_PERCENT = 100;

	/** Number of waiting requests per running one at which a daemon counts as full. */
	private static final int MAX_WAITING_PER_RUNNING = 1;

	private EntryLoad() {
	}

	/**
	 * Returns the load of this daemon in percent.
	 * @param inFlight number of requests that the daemon holds
	 * @param fleet the fleet as known to the daemon
	 * @return percentage, from 0 to 100
	 */
	public static int percent(int inFlight, FleetSnapshot fleet) {
		long capacity = fleet.backendServers().stream().mapToLong(BackendServer::nominalConcurrency).sum()
				* (1 + MAX_WAITING_PER_RUNNING);
		long daemons = fleet.members().stream().filter((member) -> member.status().isEligible()).count();
		long share = Math.max(1, capacity / Math.max(1, daemons));
		return (int) Math.min(FULL_PERCENT, FULL_PERCENT * (long) inFlight / share);
	}

}
