package org.sardineport.core.limit;

import java.util.Objects;

/**
 * Limits that a backend server states of itself in a response.
 *
 * @param rate number of requests a second that it takes
 * @param maxRejections number of requests a second that it can reject for want of room
 * without harm, not negative; {@link #ANY_REJECTIONS} if it states none
 */
public record StatedLimits(RateLimit rate, int maxRejections) {

	/** Any number of rejections does no harm. */
	public static final int ANY_REJECTIONS = Integer.MAX_VALUE;

	/** The absence of limits. */
	public static final StatedLimits NONE = new StatedLimits(RateLimit.NONE, ANY_REJECTIONS);

	/**
	 * Creates the limits and checks them.
	 */
	public StatedLimits {
		Objects.requireNonNull(rate, "rate must not be null");
		if (maxRejections < 0) {
			throw new IllegalArgumentException("maxRejections must not be negative, found " + maxRejections);
		}
	}

	/**
	 * Returns limits that bound the rate only.
	 * @param rate the limit of the rate
	 * @return the limits
	 */
	public static StatedLimits of(RateLimit rate) {
		return new StatedLimits(rate, ANY_REJECTIONS);
	}

	/**
	 * Returns whether any limit is stated.
	 * @return {@code false} only for {@link #NONE}
	 */
	public boolean isLimited() {
		return this.rate.isLimited() || limitsRejections();
	}

	/**
	 * Returns the limit of rejections for logs.
	 * @return the number, or "none"
	 */
	public String rejectionsLabel() {
		return limitsRejections() ? Integer.toString(this.maxRejections) : "none";
	}

	/**
	 * Returns whether rejections are limited.
	 * @return whether the number of rejections matters to the backend server
	 */
	public boolean limitsRejections() {
		return this.maxRejections < ANY_REJECTIONS;
	}

}
