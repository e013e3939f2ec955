package org.sardineport.core.limit;

/**
 * Number of requests that one backend server should run at once. Falls by the gradient
 * between expected and measured durations when runs take longer than its learned speed
 * explains, and rises again step by step, never above the nominal concurrency. Not safe
 * for use by several threads.
 */
public final class AdaptiveLimit {

	/** Ratio of measured to expected duration that is still taken as normal. */
	private static final double TOLERANCE = 1.5;

	/** Largest fall in one step, as a factor. */
	private static final double LEAST_GRADIENT = 0.5;

	/** Share of a new ratio in the average. */
	private static final double WEIGHT = 0.3;

	/** Rise for each run that took no longer than tolerated, as a share of the limit. */
	private static final double RISE = 0.05;

	/** Share of the nominal concurrency that is kept for the top tier. */
	private static final double HEADROOM = 0.1;

	/** Share of the nominal concurrency by which the top tier may exceed the limit. */
	private static final double OVER_ADMISSION = 0.25;

	private final int nominal;

	private final boolean fixed;

	private double limit;

	private double ratio = 1;

	private int sinceFall;

	private AdaptiveLimit(int nominal, boolean fixed) {
		this.nominal = nominal;
		this.fixed = fixed;
		this.limit = nominal;
	}

	/**
	 * Returns a limit that starts at the nominal concurrency.
	 * @param nominal requests that the backend server is meant to run at once, at least 1
	 * @return the limit
	 */
	public static AdaptiveLimit of(int nominal) {
		return create(nominal, false);
	}

	/**
	 * Returns a limit that stays at the nominal concurrency for every tier.
	 * @param nominal requests that the backend server runs at once, at least 1
	 * @return the limit
	 */
	public static AdaptiveLimit fixed(int nominal) {
		return create(nominal, true);
	}

	private static AdaptiveLimit create(int nominal, boolean fixed) {
		if (nominal < 1) {
			throw new IllegalArgumentException("nominal must be at least 1, found " + nominal);
		}
		return new AdaptiveLimit(nominal, fixed);
	}

	/**
	 * Returns the limit in force.
	 * @return requests at once, from 1 to the nominal concurrency
	 */
	public int limit() {
		return Math.max(1, (int) this.limit);
	}

	/**
	 * Returns the limit for tiers below the top tier, which leaves headroom.
	 * @return requests at once, at least 1
	 */
	public int lowerTierLimit() {
		if (this.fixed) {
			return this.nominal;
		}
		int headroom = (int) Math.ceil(this.nominal * HEADROOM);
		return Math.max(1, limit() - headroom);
	}

	/**
	 * Returns the limit up to which the top tier may go beyond the limit in force.
	 * @return requests at once, above {@link #limit()}
	 */
	public int hardLimit() {
		if (this.fixed) {
			return this.nominal;
		}
		return limit() + Math.max(1, (int) (this.nominal * OVER_ADMISSION));
	}

	/**
	 * Learns from a finished run.
	 * @param measuredMillis how long it took
	 * @param expectedMillis how long it should have taken
	 */
	public void observe(double measuredMillis, double expectedMillis) {
		if (this.fixed) {
			return;
		}
		double sample = measuredMillis / Math.max(1, expectedMillis);
		this.ratio += WEIGHT * (sample - this.ratio);
		this.sinceFall++;
		double gradient = TOLERANCE / Math.max(this.ratio, TOLERANCE);
		if (gradient >= 1) {
			this.limit = Math.min(this.nominal, this.limit * (1 + RISE));
		}
		else if (this.sinceFall > this.limit / 2) {
			this.limit = Math.max(1, this.limit * Math.max(LEAST_GRADIENT, gradient));
			this.sinceFall = 0;
		}
	}

	/**
	 * Learns that a run failed on the backend server's side.
	 */
	public void failed() {
		if (this.fixed) {
			return;
		}
		this.limit = Math.max(1, this.limit * LEAST_GRADIENT);
	}

}
