package org.sardineport.bench.slope;

/**
 * Scale that the system is designed for, and the budget of a daemon for control work at
 * that scale.
 */
final class DesignScale {

	/** Number of daemons in the fleet. */
	static final int DAEMONS = 3_300;

	/** Number of backend servers in the fleet. */
	static final int BACKEND_SERVERS = 10_000;

	/** Peak rate of requests over the fleet. */
	static final int REQUESTS_PER_SECOND = 46_000;

	/** Number of active organisations. */
	static final int ORGANISATIONS = 380;

	/** Number of regions. */
	static final int REGIONS = 8;

	/** Number of failure domains over all regions. */
	static final int FAILURE_DOMAINS = 18;

	/** Number of configuration changes per day. */
	static final int CHANGES_PER_DAY = 9_900;

	/** Number of VMs that fail on an ordinary day. */
	static final int FAILURES_PER_DAY = 120;

	/** Number of VMs that are restarted or replaced on an ordinary day. */
	static final int REPLACEMENTS_PER_DAY = 950;

	/** Number of seconds in a day. */
	static final int SECONDS_PER_DAY = 86_400;

	/** CPU time for control work, in nanoseconds per second: 1% of a core. */
	static final double CPU_NANOS_BUDGET = 1e7;

	/** Memory for control work: 64 MB. */
	static final double MEMORY_BYTES_BUDGET = 64e6;

	/** Network traffic for control work, in bytes per second: 3 KB/s. */
	static final double NETWORK_BYTES_BUDGET = 3e3;

	private DesignScale() {
	}

}
