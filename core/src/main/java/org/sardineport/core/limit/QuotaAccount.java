package org.sardineport.core.limit;

/**
 * What one daemon may spend for one organisation: slices leased from the quota owner, and
 * an even share of the limit while no slice is valid. A request may overdraw the account
 * once, and the top tier by up to one period; later slices repay the debt. Times are
 * milliseconds of one clock. Not safe for use by several threads.
 */
public final class QuotaAccount {

	/** Period over which demand is told, in milliseconds. */
	public static final long PERIOD_MILLIS = 500;

	/** Time between two demands of an account that runs short, in milliseconds. */
	private static final long SHORT_OF_TOKENS_MILLIS = 20;

	/** Shortest and longest time after which a refused caller is told to come back. */
	private static final long LEAST_RETRY_MILLIS = 500;

	private static final long MOST_RETRY_MILLIS = 30_000;

	/** Tokens that an account holds after a start: one request may overdraw it. */
	private static final double AFTER_START = 1;

	/** Time without requests after which no more slices are asked for. */
	private static final long IDLE_MILLIS = 5000;

	private OrganisationLimit limit;

	private double balance;

	private int members;

	private double share;

	private long leasedUntil;

	private long accruedAt;

	private long demand;

	private long lastDemandAt;

	private long askedAt;

	private long sequence;

	private long answeredSequence;

	private QuotaAccount(OrganisationLimit limit, int members, double savedUp, long now) {
		this.limit = limit;
		this.share = (double) limit.tokensPerSecond() / Math.max(1, members);
		this.members = members;
		this.balance = (limit.burst() > 0) ? savedUp : this.share;
		this.accruedAt = now;
		this.lastDemandAt = now;
		this.askedAt = now - PERIOD_MILLIS;
	}

	/**
	 * Returns an account that starts with one second of the even share.
	 * @param limit fleet-wide limit in tokens a second
	 * @param members daemons that share it
	 * @param now the current time
	 * @return the account
	 */
	public static QuotaAccount open(long limit, int members, long now) {
		return open(OrganisationLimit.rate(limit), members, now);
	}

	/**
	 * Returns the account of a daemon that was not leased anything yet.
	 * @param limit the fleet-wide limit
	 * @param members daemons that share it
	 * @param now the current time
	 * @return the account
	 */
	public static QuotaAccount open(OrganisationLimit limit, int members, long now) {
		return new QuotaAccount(limit, members, limit.capacity(members), now);
	}

	/**
	 * Returns the account of a daemon that has just started, as the process before it may
	 * have spent the burst.
	 * @param limit the fleet-wide limit
	 * @param members daemons that share it
	 * @param now the current time
	 * @return the account
	 */
	public static QuotaAccount openAfterStart(OrganisationLimit limit, int members, long now) {
		return new QuotaAccount(limit, members, AFTER_START, now);
	}

	/**
	 * Spends tokens for a request, or counts them as demand only.
	 * @param tokens tokens of the request
	 * @param top whether it is of the top tier
	 * @param newLimit the limit in force
	 * @param members daemons that share it
	 * @param now the current time
	 * @return whether the request may go on
	 */
	public boolean spend(long tokens, boolean top, long newLimit, int members, long now) {
		return spend(tokens, top, OrganisationLimit.rate(newLimit), members, now);
	}

	/**
	 * Spends tokens for a request, or counts them as demand only. One that is larger than
	 * the account is let in while nothing is owed.
	 * @param tokens tokens of the request
	 * @param top whether it is of the top tier
	 * @param newLimit the limit in force
	 * @param sharers daemons that share it
	 * @param now the current time
	 * @return whether the request may go on
	 */
	public boolean spend(long tokens, boolean top, OrganisationLimit newLimit, int sharers, long now) {
		this.limit = newLimit;
		this.members = sharers;
		this.demand += tokens;
		this.lastDemandAt = now;
		accrue(sharers, now);
		if (this.balance <= ((top) ? -newLimit.tokensPerSecond() : 0)) {
			return false;
		}
		this.balance -= tokens;
		return true;
	}

	private void accrue(int sharers, long now) {
		if (now >= this.leasedUntil) {
			this.share = (double) this.limit.tokensPerSecond() / Math.max(1, sharers);
			double seconds = (now - Math.max(this.accruedAt, this.leasedUntil)) / 1000.0;
			this.balance = Math.max(this.balance, Math.min(most(this.share), this.balance + this.share * seconds));
		}
		this.accruedAt = now;
	}

	/**
	 * Gives back tokens of a request that did not run.
	 * @param tokens tokens of the request
	 */
	public void refund(long tokens) {
		this.balance += tokens;
	}

	/**
	 * Takes a slice.
	 * @param tokens tokens leased
	 * @param validMillis time for which they may be spent
	 * @param answered sequence of the demand that it answers
	 * @param now the current time
	 */
	public void lease(long tokens, long validMillis, long answered, long now) {
		if (answered <= this.answeredSequence) {
			return;
		}
		this.answeredSequence = answered;
		this.leasedUntil = now + validMillis;
		this.accruedAt = now;
		double cap = Math.max(tokens, this.limit.tokensPerSecond() * PERIOD_MILLIS / 1000.0);
		this.balance = Math.min(this.balance + tokens, most(cap));
	}

	private double most(double withoutBurst) {
		return savesUp() ? this.limit.capacity(this.members) : withoutBurst;
	}

	private boolean savesUp() {
		return this.limit.savesUp();
	}

	/**
	 * Returns the demand to tell the quota owner, if it is time to.
	 * @param now the current time
	 * @return tokens wanted for a period, or -1 if nothing is to be told
	 */
	public long demandToTell(long now) {
		boolean isShort = savesUp() && this.balance < this.limit.capacity(this.members) / 2;
		long interval = isShort ? SHORT_OF_TOKENS_MILLIS : PERIOD_MILLIS;
		if (now - this.askedAt < interval || isIdle(now)) {
			return -1;
		}
		long wanted = savesUp() ? missing() : demandWithReserve();
		this.demand = 0;
		this.askedAt = now;
		this.sequence++;
		return wanted;
	}

	private long missing() {
		return (long) Math.max(0, this.limit.capacity(this.members) - this.balance);
	}

	private long demandWithReserve() {
		long debt = (long) Math.max(0, -this.balance);
		return this.demand + this.demand / 4 + debt;
	}

	/**
	 * Returns the sequence of the demand told last.
	 * @return the sequence
	 */
	public long sequence() {
		return this.sequence;
	}

	/**
	 * Returns the limit in force.
	 * @return the limit
	 */
	public OrganisationLimit limit() {
		return this.limit;
	}

	/**
	 * Returns whether no request came for a while.
	 * @param now the current time
	 * @return whether the account may be closed
	 */
	public boolean isIdle(long now) {
		return now - this.lastDemandAt > IDLE_MILLIS;
	}

	/**
	 * Returns when a refused request may be sent again.
	 * @return milliseconds to wait
	 */
	public long retryAfterMillis() {
		double millis = -this.balance / Math.max(1, this.share) * 1000;
		return Math.max(LEAST_RETRY_MILLIS, Math.min(MOST_RETRY_MILLIS, (long) millis));
	}

}
