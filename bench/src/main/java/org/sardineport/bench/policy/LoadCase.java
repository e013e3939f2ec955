package org.sardineport.bench.policy;

import org.sardineport.core.identity.PoolName;

/**
 * Load over the time of one simulation run.
 */
enum LoadCase {

	/** Constant load of 70% of the capacity. */
	STEADY_70(0.7, 1, false),

	/** Constant load of 100% of the capacity. */
	STEADY_100(1.0, 1, false),

	/** Load of 70% of the capacity, with a burst of three times that load. */
	BURST_3X(0.7, 3, false),

	/** Load of 70% of the capacity, while one engine slows down by a factor of ten. */
	SLOWDOWN_10X(0.7, 1, true);

	/** Duration for which requests arrive. */
	static final double DURATION_MILLIS = 180_000;

	/** Time at which the burst or the slowdown begins. */
	static final double CHANGE_MILLIS = 80_000;

	/** Duration of the burst. */
	static final double BURST_MILLIS = 30_000;

	/** Factor by which the engine slows down. */
	static final double SLOWDOWN = 10;

	private final double load;

	private final double burst;

	private final boolean slowsDown;

	LoadCase(double load, double burst, boolean slowsDown) {
		this.load = load;
		this.burst = burst;
		this.slowsDown = slowsDown;
	}

	/**
	 * Returns the load at a time.
	 * @param millis virtual time in milliseconds
	 * @return load as a share of the capacity
	 */
	double load(double millis) {
		boolean bursting = millis >= CHANGE_MILLIS && millis < CHANGE_MILLIS + BURST_MILLIS;
		return (bursting) ? this.load * this.burst : this.load;
	}

	boolean slowsDown() {
		return this.slowsDown;
	}

	/**
	 * Returns whether the load or the speed of a pool changes during the run.
	 * @param pool the pool
	 * @return whether it changes
	 */
	boolean changes(PoolName pool) {
		return this.burst > 1 || (this.slowsDown && pool.equals(Site.MODEL));
	}

	boolean isSteady() {
		return this.burst == 1 && !this.slowsDown;
	}

}
