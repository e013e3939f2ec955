package org.sardineport.core.rollout;

import java.time.Duration;

/**
 * How many requests a version may get before it is certain that it is sound. Immutable.
 */
final class ExposureBudget {

	/** Part of the limit that is used, as counts of other daemons arrive late. */
	private static final double USABLE = 0.8;

	private final RolloutSettings settings;

	private final Duration duration;

	ExposureBudget(RolloutSettings settings, Duration duration) {
		this.settings = settings;
		this.duration = duration;
	}

	double exposedShare() {
		return USABLE * this.settings.exposedShare();
	}

	/**
	 * Returns how many requests the target may get up to the end of the order's duration.
	 * @param ratePerSecond requests of the pool a second
	 * @return the number
	 */
	double allowed(double ratePerSecond) {
		double requests = ratePerSecond * seconds(this.duration);
		return USABLE * (this.settings.exposedShare() * requests + this.settings.exposedSlack());
	}

	/**
	 * Returns whether the target could get a share of the requests for a time, were it
	 * faulty, and stay within the budget.
	 * @param used requests that it got so far
	 * @param share the share
	 * @param time the time until a fault that shows at once is known to all daemons
	 * @param ratePerSecond requests of the pool a second
	 * @return whether it could
	 */
	boolean affords(double used, double share, Duration time, double ratePerSecond) {
		return used + share * seconds(time) * ratePerSecond <= allowed(ratePerSecond);
	}

	private static double seconds(Duration time) {
		return time.toMillis() / 1e3;
	}

}
