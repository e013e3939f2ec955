package org.sardineport.core.capacity;

/**
 * Relative gain of throughput by a relative increase of the load. 1 means that the
 * throughput grows like the load, 0 that it does not grow, less that it falls.
 *
 * @param elasticity the estimated gain
 * @param error its standard error; infinite without evidence
 * @param blocks number of intervals that show both loads
 * @param bothWays whether the load rose in some of them and fell in others, unlike while
 * a backend server becomes slow
 */
record ThroughputGain(double elasticity, double error, int blocks, boolean bothWays) {

	/**
	 * Number of standard errors below a bound that shows that load gains nothing. High,
	 * as many loads are compared many times.
	 */
	private static final double CONFIDENCE_BELOW = 3;

	/** Number of standard errors above a bound that shows that load gains throughput. */
	private static final double CONFIDENCE_ABOVE = 2;

	/** Smallest number of intervals, as a short stall is confined to one or two. */
	private static final int MIN_BLOCKS = 3;

	/** Smallest number of intervals of trials that show a gain. */
	private static final int MIN_TRIAL_BLOCKS = 2;

	static ThroughputGain unknown() {
		return new ThroughputGain(1, Double.POSITIVE_INFINITY, 0, false);
	}

	boolean isBelow(double bound) {
		return this.bothWays && this.blocks >= MIN_BLOCKS && this.elasticity + CONFIDENCE_BELOW * this.error < bound;
	}

	boolean isAbove(double bound) {
		return this.blocks >= MIN_TRIAL_BLOCKS && this.elasticity - CONFIDENCE_ABOVE * this.error > bound;
	}

}
