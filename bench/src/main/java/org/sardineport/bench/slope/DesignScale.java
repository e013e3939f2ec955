package org.sardineport.bench.slope;

/**
 * The size that the system is designed for, and what a daemon may spend on control there.
 */
final class DesignScale {

	/** Daemons of the fleet. */
	static final int DAEMONS = 3_300;

	/** Backend servers of the fleet. */
	static final int BACKEND_SERVERS = 10_000;

	/** Requests a second at the peak, over the fleet. */
	static final int REQUESTS_PER_SECOND = 46_000;

	/** Organisations in steady use. */
	static final int ORGANISATIONS = 380;

	/** Regions. */
	static final int REGIONS = 8;

	/** Failure domains. */
	static final int FAILURE_DOMAINS = 18;

	/** Changes of configuration a day. */
	static final int CHANGES_PER_DAY = 9_900;

	/** VMs that fail on an ordinary day. */
	static final int FAILURES_PER_DAY = 120;

	/** VMs that are restarted or replaced on an ordinary day. */
	static final int REPLACEMENTS_PER_DAY = 950;

	/** Seconds of a day. */
	static final int SECONDS_PER_DAY = 86_400;

	/** Processor time for control, nanoseconds a second: 1% of a core. */
	static final double CPU_NANOS_BUDGET = 1e7;

	/** Memory for control, bytes: 64 MB. */
	static final double MEMORY_BYTES_BUDGET = 64e6;

	/** Network traffic for control, bytes a second: 3 KB/s. */
	static final double NETWORK_BYTES_BUDGET = 3e3;

	private DesignScale() {
	}

}
