package org.sardineport.core.limit;

/**
 * Pool of the tokens of one organisation that the owner of its limit has not leased yet.
 * A daemon gets the tokens that it lacks in one lease, so that tokens that the other
 * daemons do not use cover a large request on one of them. Times are in milliseconds of
 * one clock. Not thread-safe.
 */
public final class QuotaPool {

	/**
	 * Initial balance of a new owner's pool as a share of the slack. It is partial, as
	 * the previous owner may have leased all tokens.
	 */
	private static final double INITIAL_FRACTION = 0.25;

	/** Part of the slack that is not leased to refill accounts. */
	private static final double RESERVED_SHARE = 0.2;

	private double balance;

	private long accruedAt;

	private QuotaPool(double balance, long now) {
		this.balance = balance;
		this.accruedAt = now;
	}

	/**
	 * Returns the pool of a daemon that becomes the owner of a limit.
	 * @param limit the limit
	 * @param now the current time
	 * @return the pool
	 */
	public static QuotaPool open(OrganisationLimit limit, long now) {
		return new QuotaPool(INITIAL_FRACTION * limit.slack(), now);
	}

	/**
	 * Leases tokens. A daemon that demands more than its share of the burst has a request
	 * that waits for them, or is in debt: it gets what it lacks for that, up to the
	 * maximum debt of the pool, while the balance is positive, and nothing otherwise. So
	 * large requests are admitted as often as small ones. Beyond that, accounts are
	 * refilled while the pool keeps a part of the slack for such requests.
	 * @param wanted tokens that the daemon demands
	 * @param tokensPerSecond share of the limit's rate that this pool accrues, in tokens
	 * per second
	 * @param limit the current limit
	 * @param members number of daemons that share the limit
	 * @param now the current time
	 * @return leased tokens, from 0 to {@code wanted}
	 */
	public long lease(long wanted, long tokensPerSecond, OrganisationLimit limit, int members, long now) {
		accrue(tokensPerSecond, limit, now);
		if (this.balance <= 0) {
			return 0;
		}
		double lackingTokens = Math.max(0, wanted - limit.capacity(members));
		long lacking = (long) Math.ceil(Math.min(lackingTokens, this.balance + limit.maxPoolDebt()));
		this.balance -= lacking;
		double spare = this.balance - RESERVED_SHARE * limit.slack();
		long refill = (long) Math.max(0, Math.min(wanted - lacking, spare));
		return lacking + lease(refill, tokensPerSecond, limit, now);
	}

	/**
	 * Leases tokens up to the balance of the pool.
	 * @param wanted tokens that the daemon demands
	 * @param tokensPerSecond share of the limit's rate that this pool accrues, in tokens
	 * per second
	 * @param limit the current limit
	 * @param now the current time
	 * @return leased tokens, from 0 to {@code wanted}
	 */
	long lease(long wanted, long tokensPerSecond, OrganisationLimit limit, long now) {
		accrue(tokensPerSecond, limit, now);
		long granted = (long) Math.max(0, Math.min(wanted, this.balance));
		this.balance -= granted;
		return granted;
	}

	private void accrue(long tokensPerSecond, OrganisationLimit limit, long now) {
		double accrued = tokensPerSecond * (now - this.accruedAt) / 1000.0;
		this.balance = Math.min(limit.slack(), this.balance + accrued);
		this.accruedAt = now;
	}

}
