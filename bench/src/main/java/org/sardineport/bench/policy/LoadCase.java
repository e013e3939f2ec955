package org.sardineport.bench.policy;

import org.sardineport.core.identity.PoolName;

/**
 * Course of the load in one run.
 */
enum LoadCase {

	/** Seven tenths of the capacity. */
	STEADY_70(0.7, 1, false),

	/** The whole capacity. */
	STEADY_100(1.0, 1, false),

	/** Seven tenths, and three times that for a while. */
	BURST_3X(0.7, 3, false),

	/** Seven tenths, and one engine slows down tenfold. */
	SLOWDOWN_10X(0.7, 1, true);

	/** Time during which requests arrive. */
	static final double DURATION_MILLIS = 180_000;

	/** When the burst or the slow-down begins. */
	static final double CHANGE_MILLIS = 80_000;

	/** How long the burst lasts. */
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
	 * @param millis the time
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
	 * @return whether it is not steady
	 */
	boolean changes(PoolName pool) {
		return this.burst > 1 || (this.slowsDown && pool.equals(Site.MODEL));
	}

	boolean isSteady() {
		return this.burst == 1 && !this.slowsDown;
	}

}
