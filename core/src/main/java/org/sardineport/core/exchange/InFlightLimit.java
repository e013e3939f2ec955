package org.sardineport.core.exchange;

import java.util.Objects;

import org.sardineport.core.request.Tier;

/**
 * Bounds the requests that a daemon holds at once. Lower tiers never take the room of the
 * top tier: it is refused only if it fills the limit alone. Safe for use by any thread.
 */
public final class InFlightLimit {

	private final int maximum;

	private int top;

	private int lower;

	private InFlightLimit(int maximum) {
		this.maximum = maximum;
	}

	/**
	 * Returns a limit with nothing in flight.
	 * @param maximum most requests of all tiers before lower tiers are refused, and most
	 * of the top tier
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
	 * Returns whether a request would be taken now.
	 * @param tier its tier
	 * @return whether there is room
	 */
	public synchronized boolean hasRoomFor(Tier tier) {
		Objects.requireNonNull(tier, "tier must not be null");
		return (tier.isTop()) ? this.top < this.maximum : this.top + this.lower < this.maximum;
	}

	/**
	 * Takes a request if there is room.
	 * @param tier its tier
	 * @return whether it was taken; it must then leave exactly once
	 */
	public synchronized boolean tryEnter(Tier tier) {
		if (!hasRoomFor(tier)) {
			return false;
		}
		enter(tier);
		return true;
	}

	/**
	 * Takes a request whether there is room or not.
	 * @param tier its tier
	 */
	public synchronized void enter(Tier tier) {
		if (tier.isTop()) {
			this.top++;
		}
		else {
			this.lower++;
		}
	}

	/**
	 * Takes a request out.
	 * @param tier its tier
	 */
	public synchronized void leave(Tier tier) {
		if (tier.isTop()) {
			this.top--;
		}
		else {
			this.lower--;
		}
	}

	/**
	 * Returns the requests in flight.
	 * @return the number
	 */
	public synchronized int inFlight() {
		return this.top + this.lower;
	}

}
