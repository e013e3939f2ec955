package org.sardineport.core.limit;

/**
 * The tokens of one organisation that the owner of its limit has not leased yet. Daemons
 * take what they miss at once, so that a large request on one of them is covered by what
 * the others do not use. Times are milliseconds of one clock. Not safe for use by several
 * threads.
 */
public final class QuotaPool {

	/**
	 * Part of the pool that a new owner begins with, as the former one may have given
	 * all.
	 */
	private static final double PART_AT_START = 0.25;

	private double balance;

	private long accruedAt;

	private QuotaPool(double balance, long now) {
		this.balance = balance;
		this.accruedAt = now;
	}

	/**
	 * Returns the pool of a daemon that begins to own a limit.
	 * @param limit the limit
	 * @param now the current time
	 * @return the pool
	 */
	public static QuotaPool open(OrganisationLimit limit, long now) {
		return new QuotaPool(PART_AT_START * limit.slack(), now);
	}

	/**
	 * Leases tokens.
	 * @param wanted tokens that a daemon misses
	 * @param tokensPerSecond part of the limit's rate that may be given out here
	 * @param limit the limit in force
	 * @param now the current time
	 * @return tokens leased
	 */
	public long lease(long wanted, long tokensPerSecond, OrganisationLimit limit, long now) {
		double accrued = tokensPerSecond * (now - this.accruedAt) / 1000.0;
		this.balance = Math.min(limit.slack(), this.balance + accrued);
		this.accruedAt = now;
		long granted = (long) Math.max(0, Math.min(wanted, this.balance));
		this.balance -= granted;
		return granted;
	}

}
