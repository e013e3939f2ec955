package org.sardineport.core.journal;

import java.time.Duration;
import java.time.Instant;

/**
 * Limit of appends a second, as a bucket that holds a quarter of a second's appends. Not
 * safe for use by several threads.
 */
public final class AppendBudget {

	private static final double BURST_SHARE = 0.25;

	private static final double NANOS_A_SECOND = 1e9;

	private final double rate;

	private final double capacity;

	private double level;

	private Instant filledAt;

	private AppendBudget(int appendsPerSecond, Instant now) {
		this.rate = appendsPerSecond;
		this.capacity = Math.max(1, appendsPerSecond * BURST_SHARE);
		this.level = this.capacity;
		this.filledAt = now;
	}

	/**
	 * Returns a budget that is full.
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
	 * Takes one append, if there is one.
	 * @param now the current time
	 * @return whether it was taken
	 */
	public boolean tryTake(Instant now) {
		fill(now);
		if (this.level < 1) {
			return false;
		}
		this.level--;
		return true;
	}

	/**
	 * Returns whether less than half of the bucket is left, so that appends should be
	 * shared.
	 * @param now the current time
	 * @return whether appends are scarce
	 */
	public boolean isScarce(Instant now) {
		fill(now);
		return this.level < this.capacity / 2;
	}

	private void fill(Instant now) {
		if (now.isAfter(this.filledAt)) {
			double gained = Duration.between(this.filledAt, now).toNanos() * this.rate / NANOS_A_SECOND;
			this.level = Math.min(this.capacity, this.level + gained);
			this.filledAt = now;
		}
	}

}
