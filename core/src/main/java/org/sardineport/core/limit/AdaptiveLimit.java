package org.sardineport.core.limit;

/**
 * Adaptive concurrency limit of one backend server. The limit is reduced by the gradient
 * between expected and measured durations when runs take longer than the estimated speed
 * of the backend server explains. It is raised again step by step, up to the nominal
 * concurrency. Not thread-safe.
 */
public final class AdaptiveLimit {

	/**
	 * Largest mean ratio of measured to expected duration that does not reduce the limit.
	 */
	private static final double TOLERANCE = 1.5;

	/** Smallest factor by which the limit is reduced in one step. */
	private static final double MIN_GRADIENT = 0.5;

	/** Weight of a new ratio in the moving average. */
	private static final double RATIO_WEIGHT = 0.3;

	/**
	 * Increase of the limit per run while the mean ratio is within the tolerance, as a
	 * share of the limit.
	 */
	private static final double INCREASE_PER_RUN = 0.05;

	/** Share of the nominal concurrency that is reserved for the top tier. */
	private static final double TOP_TIER_HEADROOM = 0.1;

	/** Share of the nominal concurrency by which the top tier may exceed the limit. */
	private static final double OVER_ADMISSION = 0.25;

	private final int nominal;

	private final boolean fixed;

	private double limit;

	private double ratio = 1;

	private int runsSinceDecrease;

	private AdaptiveLimit(int nominal, boolean fixed) {
		this.nominal = nominal;
		this.fixed = fixed;
		this.limit = nominal;
	}

	/**
	 * Returns a limit that starts at the nominal concurrency.
	 * @param nominal number of requests that the backend server is configured to run
	 * concurrently, at least 1
	 * @return the limit
	 */
	public static AdaptiveLimit of(int nominal) {
		return create(nominal, false);
	}

	/**
	 * Returns a limit that stays at the nominal concurrency for every tier.
	 * @param nominal number of requests that the backend server runs concurrently, at
	 * least 1
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
	 * Returns the current limit.
	 * @return concurrent requests, from 1 to the nominal concurrency
	 */
	public int limit() {
		return Math.max(1, (int) this.limit);
	}

	/**
	 * Returns the limit for the tiers below the top tier, which leaves headroom for it
	 * unless the limit is fixed.
	 * @return concurrent requests, at least 1
	 */
	public int lowerTierLimit() {
		if (this.fixed) {
			return this.nominal;
		}
		int headroom = (int) Math.ceil(this.nominal * TOP_TIER_HEADROOM);
		return Math.max(1, limit() - headroom);
	}

	/**
	 * Returns the limit for the top tier, which may exceed the current limit.
	 * @return concurrent requests, above {@link #limit()} unless the limit is fixed
	 */
	public int hardLimit() {
		if (this.fixed) {
			return this.nominal;
		}
		return limit() + Math.max(1, (int) (this.nominal * OVER_ADMISSION));
	}

	/**
	 * Adjusts the limit after a finished run. The limit is reduced again only after more
	 * than half as many runs as the limit allows.
	 * @param measuredMillis measured duration in milliseconds
	 * @param expectedMillis expected duration in milliseconds
	 */
	public void observe(double measuredMillis, double expectedMillis) {
		if (this.fixed) {
			return;
		}
		double sample = measuredMillis / Math.max(1, expectedMillis);
		this.ratio += RATIO_WEIGHT * (sample - this.ratio);
		this.runsSinceDecrease++;
		double gradient = TOLERANCE / Math.max(this.ratio, TOLERANCE);
		if (gradient >= 1) {
			this.limit = Math.min(this.nominal, this.limit * (1 + INCREASE_PER_RUN));
		}
		else if (this.runsSinceDecrease > this.limit / 2) {
			this.limit = Math.max(1, this.limit * Math.max(MIN_GRADIENT, gradient));
			this.runsSinceDecrease = 0;
		}
	}

	/**
	 * Reduces the limit after a run that failed on the backend server.
	 */
	public void failed() {
		if (this.fixed) {
			return;
		}
		this.limit = Math.max(1, this.limit * MIN_GRADIENT);
	}

}
