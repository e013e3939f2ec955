package org.sardineport.core.journal;

import java.time.Duration;
import java.time.Instant;

/**
 * Token bucket that limits the rate of appends. Its capacity is a quarter of a second's
 * appends, at least one. Not thread-safe.
 */
public final class AppendBudget {

	private static final double BURST_SECONDS = 0.25;

	private static final double NANOS_PER_SECOND = 1e9;

	private final double rate;

	private final double capacity;

	private double level;

	private Instant refilledAt;

	private AppendBudget(int appendsPerSecond, Instant now) {
		this.rate = appendsPerSecond;
		this.capacity = Math.max(1, appendsPerSecond * BURST_SECONDS);
		this.level = this.capacity;
		this.refilledAt = now;
	}

	/**
	 * Returns a budget with a full bucket.
	 * @param appendsPerSecond the limit, at least 1
	 * @param now the current time
	 * @return the budget
	 */
	public static AppendBudget create(int appendsPerSecond, Instant now) {
		if (appendsPerSecond < 1) {
			throw new IllegalArgumentException("appendsPerSecond must be at least 1, found " + appendsPerSecond);
		}
		return new AppendBudget(appendsPerSecond, now);
	}

	/**
	 * Takes one append from the budget if it is not exhausted.
	 * @param now the current time
	 * @return whether the append is allowed
	 */
	public boolean tryTake(Instant now) {
		refill(now);
		if (this.level < 1) {
			return false;
		}
		this.level--;
		return true;
	}

	/**
	 * Returns whether less than half of the bucket remains, so that entries should share
	 * appends.
	 * @param now the current time
	 * @return whether appends are scarce
	 */
	public boolean isScarce(Instant now) {
		refill(now);
		return this.level < this.capacity / 2;
	}

	private void refill(Instant now) {
		if (now.isAfter(this.refilledAt)) {
			double gained = Duration.between(this.refilledAt, now).toNanos() * this.rate / NANOS_PER_SECOND;
			this.level = Math.min(this.capacity, this.level + gained);
			this.refilledAt = now;
		}
	}

}
