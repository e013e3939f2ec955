package org.sardineport.core.routing;

import java.util.Objects;

import org.sardineport.core.limit.RateLimit;

/**
 * How soon further requests may start on a backend server that states limits.
 *
 * @param limit the limit of their rate
 * @param nextStartMillis milliseconds until the next request may start, behind those that
 * wait for a permit already; 0 if it may start now
 */
public record StartRate(RateLimit limit, long nextStartMillis) {

	/** Any number of requests may start at once. */
	public static final StartRate UNLIMITED = new StartRate(RateLimit.NONE, 0);

	/**
	 * Creates the rate and checks that its limit is present.
	 */
	public StartRate {
		Objects.requireNonNull(limit, "limit must not be null");
	}

	/**
	 * Returns when a request may start behind others.
	 * @param ahead number of requests that start before it and were not counted when this
	 * rate was determined
	 * @param ageMillis time since this rate was determined, in milliseconds
	 * @return milliseconds from now; 0 if it may start now
	 */
	public double waitMillis(int ahead, long ageMillis) {
		return Math.max(0, this.nextStartMillis - ageMillis) + ahead * this.limit.millisPerRequest();
	}

}
