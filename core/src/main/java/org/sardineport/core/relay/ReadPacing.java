package org.sardineport.core.relay;

import java.time.Duration;

/**
 * Intervals at which a daemon reads the platform's store. All daemons share the store's
 * call capacity, so each daemon reads less often in a larger fleet, within fixed bounds.
 */
public final class ReadPacing {

	/** Time for which a configuration read waits for a change in a small fleet. */
	private static final Duration MIN_WAIT = Duration.ofMillis(1000);

	/** Upper bound, so that two reads fit into the lifetime of a configuration read. */
	private static final Duration MAX_WAIT = Duration.ofMillis(2000);

	/** Time in which the store answers. */
	private static final Duration READ_MARGIN = Duration.ofMillis(250);

	/** Largest number of daemons at which the minimum wait applies. */
	private static final int SMALL_FLEET_DAEMONS = 16;

	private ReadPacing() {
	}

	/**
	 * Returns how long a configuration read waits in the store for a change. Grows in
	 * proportion to the fleet size, between 1 and 2 seconds.
	 * @param daemons number of daemons that read the store, at least 1
	 * @return the wait time
	 */
	public static Duration configurationWait(int daemons) {
		Duration wait = MIN_WAIT.multipliedBy(Math.max(SMALL_FLEET_DAEMONS, daemons)).dividedBy(SMALL_FLEET_DAEMONS);
		return (wait.compareTo(MAX_WAIT) < 0) ? wait : MAX_WAIT;
	}

	/**
	 * Returns the age of the newest configuration read from which callers are better
	 * served by other daemons. The age is counted from the start of a read and reaches
	 * two waits while all reads succeed.
	 * @param daemons number of daemons that read the store, at least 1
	 * @return the age
	 */
	public static Duration maximumServingAge(int daemons) {
		Duration wait = configurationWait(daemons);
		return wait.multipliedBy(2).plus(wait.dividedBy(4)).plus(READ_MARGIN);
	}

	/**
	 * Returns the interval between two reads of the list of backend servers. It is half
	 * the limit, so that two reads fit into it.
	 * @param removalTimeLimit time after which a backend server that leaves must get no
	 * new work
	 * @return the interval
	 */
	public static Duration listInterval(Duration removalTimeLimit) {
		return removalTimeLimit.dividedBy(2);
	}

}
