package org.sardineport.core.entry;

import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.fleet.FleetSnapshot;

/**
 * How busy a daemon is, as it tells the others: the requests it holds against its even
 * share of what the backend servers can run and queue.
 */
public final class EntryLoad {

	private static final int FULL = 100;

	/** Requests that may wait for each that runs before a daemon counts as full. */
	private static final int WAITING_PER_RUNNING = 1;

	private EntryLoad() {
	}

	/**
	 * Returns the load of this daemon.
	 * @param inFlight requests that it holds
	 * @param fleet the fleet as it knows it
	 * @return 0 to 100
	 */
	public static int percent(int inFlight, FleetSnapshot fleet) {
		long capacity = fleet.backendServers().stream().mapToLong(BackendServer::nominalConcurrency).sum()
				* (1 + WAITING_PER_RUNNING);
		long daemons = fleet.members().stream().filter((member) -> member.status().isEligible()).count();
		long share = Math.max(1, capacity / Math.max(1, daemons));
		return (int) Math.min(FULL, FULL * (long) inFlight / share);
	}

}
