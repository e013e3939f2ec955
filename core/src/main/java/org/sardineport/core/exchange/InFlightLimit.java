package org.sardineport.core.exchange;

import java.util.Objects;

import org.sardineport.core.request.Tier;

/**
 * Limits the number of requests that a daemon holds at once. Requests of lower tiers
 * never use up the capacity of the top tier, which is refused only if its own requests
 * reach the limit. Thread-safe.
 */
public final class InFlightLimit {

	private final int maximum;

	private int topTierRequests;

	private int lowerTierRequests;

	private InFlightLimit(int maximum) {
		this.maximum = maximum;
	}

	/**
	 * Returns a limit with no request in flight.
	 * @param maximum number of requests of all tiers at which lower tiers are refused,
	 * and maximum number of requests of the top tier
	 * @return the limit
	 * @throws IllegalArgumentException if the maximum is negative
	 */
	public static InFlightLimit of(int maximum) {
		if (maximum < 0) {
			throw new IllegalArgumentException("maximum must not be negative, found " + maximum);
		}
		return new InFlightLimit(maximum);
	}

	/**
	 * Returns whether a request of a tier would be accepted now.
	 * @param tier its tier
	 * @return {@code true} if the limit is not reached for the tier
	 */
	public synchronized boolean hasCapacityFor(Tier tier) {
		Objects.requireNonNull(tier, "tier must not be null");
		return (tier.isTop()) ? this.topTierRequests < this.maximum
				: this.topTierRequests + this.lowerTierRequests < this.maximum;
	}

	/**
	 * Counts a request if the limit is not reached.
	 * @param tier its tier
	 * @return {@code true} if the request was counted; {@link #release} must then be
	 * called for it exactly once
	 */
	public synchronized boolean tryAcquire(Tier tier) {
		if (!hasCapacityFor(tier)) {
			return false;
		}
		acquireUnchecked(tier);
		return true;
	}

	/**
	 * Counts a request regardless of the limit. {@link #release} must be called for it
	 * exactly once.
	 * @param tier its tier
	 */
	public synchronized void acquireUnchecked(Tier tier) {
		if (tier.isTop()) {
			this.topTierRequests++;
		}
		else {
			this.lowerTierRequests++;
		}
	}

	/**
	 * Removes a request that was counted before.
	 * @param tier its tier
	 */
	public synchronized void release(Tier tier) {
		if (tier.isTop()) {
			this.topTierRequests--;
		}
		else {
			this.lowerTierRequests--;
		}
	}

	/**
	 * Returns the number of requests in flight.
	 * @return the number over all tiers
	 */
	public synchronized int inFlight() {
		return this.topTierRequests + this.lowerTierRequests;
	}

}
