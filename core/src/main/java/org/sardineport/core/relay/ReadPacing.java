package org.sardineport.core.relay;

import java.time.Duration;

/**
 * How often a daemon reads the platform's store. All daemons together share its calls, so
 * that each reads less often in a large fleet, as far as the bounds allow.
 */
public final class ReadPacing {

	/** Time that a read of the configuration waits for a change, in a small fleet. */
	private static final Duration SHORTEST_WAIT = Duration.ofMillis(1000);

	/** Longest such time: two reads fit into the life of a proof. */
	private static final Duration LONGEST_WAIT = Duration.ofMillis(2000);

	/** Daemons up to which a fleet is small. */
	private static final int SMALL_FLEET = 16;

	private ReadPacing() {
	}

	/**
	 * Returns how long a read of the configuration waits in the store for a change.
	 * @param daemons daemons that read the store, at least 1
	 * @return the time
	 */
	public static Duration configurationWait(int daemons) {
		Duration wait = SHORTEST_WAIT.multipliedBy(Math.max(SMALL_FLEET, daemons)).dividedBy(SMALL_FLEET);
		return (wait.compareTo(LONGEST_WAIT) < 0) ? wait : LONGEST_WAIT;
	}

	/**
	 * Returns the time between two reads of the list of backend servers.
	 * @param forgetWithin time within which a backend server that leaves gets no new work
	 * @return the time
	 */
	public static Duration listInterval(Duration forgetWithin) {
		return forgetWithin.dividedBy(2);
	}

}
