package org.sardineport.core.limit;

/**
 * Number of requests a second that a backend server takes from all daemons together.
 *
 * @param requestsPerSecond the number, not negative; infinite if there is no limit
 */
public record RateLimit(double requestsPerSecond) {

	/**
	 * Minimum rate at which requests are sent, so that the end of a limit is noticed.
	 */
	private static final double MIN_REQUESTS_PER_SECOND = 0.2;

	private static final double MILLIS_PER_SECOND = 1000;

	/** The absence of a limit. */
	public static final RateLimit NONE = new RateLimit(Double.POSITIVE_INFINITY);

	/**
	 * Creates the limit and checks its number.
	 */
	public RateLimit {
		if (Double.isNaN(requestsPerSecond) || requestsPerSecond < 0) {
			throw new IllegalArgumentException(
					"requestsPerSecond must be a number and not negative, found " + requestsPerSecond);
		}
	}

	/**
	 * Returns a limit.
	 * @param requests number of requests a second, not negative
	 * @return the limit
	 */
	public static RateLimit perSecond(double requests) {
		return new RateLimit(requests);
	}

	/**
	 * Returns whether there is a limit.
	 * @return {@code false} only for {@link #NONE}
	 */
	public boolean isLimited() {
		return this.requestsPerSecond < Double.POSITIVE_INFINITY;
	}

	/**
	 * Returns the mean time between two requests.
	 * @return milliseconds; 0 if there is no limit, and a few seconds at most
	 */
	public double millisPerRequest() {
		return MILLIS_PER_SECOND / Math.max(this.requestsPerSecond, MIN_REQUESTS_PER_SECOND);
	}

	@Override
	public String toString() {
		return isLimited() ? Double.toString(this.requestsPerSecond) : "none";
	}

}
