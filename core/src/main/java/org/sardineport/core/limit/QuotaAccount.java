package org.sardineport.core.limit;

/**
 * Token account of one organisation on one daemon. The account is credited with slices
 * leased from the quota owner. It accrues an even share of the limit while no slice is
 * valid, or with a burst while the owner does not reply. A request that a positive
 * balance does not cover may leave a bounded debt. One that is larger is held until the
 * owner has replied to a demand that includes it; while the owner does not reply, it may
 * overdraw a positive balance without that bound. The top tier may overdraw the account
 * until the debt reaches the tokens of one second at the limit's rate. Later slices repay
 * the debt. Times are in milliseconds of one clock. Not thread-safe.
 */
public final class QuotaAccount {

	/** Period over which demand is reported, in milliseconds. */
	public static final long PERIOD_MILLIS = 500;

	/** Time within which the quota owner replies to a report, in milliseconds. */
	public static final long REPLY_TIMEOUT_MILLIS = DemandReports.REPLY_TIMEOUT_MILLIS;

	/**
	 * Time between two demand reports of an account that is used and has a low balance,
	 * in milliseconds.
	 */
	private static final long LOW_BALANCE_PERIOD_MILLIS = 100;

	/**
	 * Time without a reply after which an account with a burst accrues its even share, in
	 * milliseconds.
	 */
	private static final long UNANSWERED_MILLIS = 1000;

	/** A time that never comes, to which durations can be added. */
	private static final long NEVER = Long.MAX_VALUE / 2;

	/** Bounds of the time after which a refused caller may retry, in milliseconds. */
	private static final long MIN_RETRY_MILLIS = 500;

	private static final long MAX_RETRY_MILLIS = 30_000;

	/**
	 * Balance of an account after a start: a positive one, which one request may
	 * overdraw.
	 */
	private static final double INITIAL_BALANCE_AFTER_START = 1;

	/**
	 * Time without requests after which no more slices are requested, in milliseconds.
	 */
	private static final long IDLE_MILLIS = 5000;

	private OrganisationLimit limit;

	private double balance;

	private int members;

	private double share;

	private long leasedUntil;

	private long accruedAt;

	private long demand;

	private long lastRequestAt;

	private final DemandReports reports;

	/** Tokens of requests that wait for the reply of the quota owner. */
	private long held;

	private QuotaAccount(OrganisationLimit limit, int members, double initialBalance, long now) {
		this.limit = limit;
		this.share = (double) limit.tokensPerSecond() / Math.max(1, members);
		this.members = members;
		this.balance = (limit.burst() > 0) ? initialBalance : this.share;
		this.accruedAt = now;
		this.lastRequestAt = now;
		this.reports = DemandReports.startingAt(now - PERIOD_MILLIS);
	}

	/**
	 * Returns an account for a limit without a burst. It starts with the tokens of one
	 * second at the even share.
	 * @param limit fleet-wide limit in tokens per second
	 * @param members number of daemons that share the limit
	 * @param now the current time
	 * @return the account
	 */
	public static QuotaAccount open(long limit, int members, long now) {
		return open(OrganisationLimit.rate(limit), members, now);
	}

	/**
	 * Returns an account that starts with the daemon's share of the burst, or without a
	 * burst with the tokens of one second at the even share.
	 * @param limit the fleet-wide limit
	 * @param members number of daemons that share the limit
	 * @param now the current time
	 * @return the account
	 */
	public static QuotaAccount open(OrganisationLimit limit, int members, long now) {
		return new QuotaAccount(limit, members, limit.capacity(members), now);
	}

	/**
	 * Returns an account for a daemon that has just started. It starts without the burst,
	 * which the previous process may have spent.
	 * @param limit the fleet-wide limit
	 * @param members number of daemons that share the limit
	 * @param now the current time
	 * @return the account
	 */
	public static QuotaAccount openAfterStart(OrganisationLimit limit, int members, long now) {
		return new QuotaAccount(limit, members, INITIAL_BALANCE_AFTER_START, now);
	}

	/**
	 * Spends tokens for a request under a limit without a burst. The tokens count as
	 * demand in any case.
	 * @param tokens number of tokens of the request
	 * @param top whether the request is in the top tier
	 * @param newLimit the limit in force
	 * @param members number of daemons that share the limit
	 * @param now the current time
	 * @return whether the tokens were spent and the request is admitted
	 */
	public boolean spend(long tokens, boolean top, long newLimit, int members, long now) {
		return spend(tokens, top, OrganisationLimit.rate(newLimit), members, now);
	}

	/**
	 * Spends tokens for a request. The tokens count as demand in any case. A request
	 * larger than the balance is admitted while the balance is positive.
	 * @param tokens number of tokens of the request
	 * @param top whether the request is in the top tier
	 * @param newLimit the limit in force
	 * @param memberCount number of daemons that share the limit
	 * @param now the current time
	 * @return whether the tokens were spent and the request is admitted
	 */
	public boolean spend(long tokens, boolean top, OrganisationLimit newLimit, int memberCount, long now) {
		recordRequest(tokens, newLimit, memberCount, now);
		return overdraw(tokens, top);
	}

	private void recordRequest(long tokens, OrganisationLimit newLimit, int memberCount, long now) {
		this.limit = newLimit;
		this.members = memberCount;
		this.demand += tokens;
		this.lastRequestAt = now;
		accrue(memberCount, now);
	}

	private boolean overdraw(long tokens, boolean top) {
		if (this.balance <= ((top) ? -this.limit.tokensPerSecond() : 0)) {
			return false;
		}
		this.balance -= tokens;
		return true;
	}

	/**
	 * Spends tokens for a request if the balance is positive and covers them, but for a
	 * debt of a part of the daemon's share of the slack. The tokens count as demand in
	 * any case. If they are not spent, the request may be held.
	 * @param tokens number of tokens of the request
	 * @param newLimit the limit in force
	 * @param memberCount number of daemons that share the limit
	 * @param now the current time
	 * @return whether the tokens were spent and the request is admitted
	 */
	public boolean spendIfCovered(long tokens, OrganisationLimit newLimit, int memberCount, long now) {
		recordRequest(tokens, newLimit, memberCount, now);
		return spendIfCovered(tokens);
	}

	// The bounded debt spares most requests of a small fleet the wait for the owner.
	private boolean spendIfCovered(long tokens) {
		return this.balance + this.limit.maxAccountDebt(this.members) >= tokens && overdraw(tokens, false);
	}

	/**
	 * Holds a request: further demand reports include its tokens.
	 * @param tokens number of tokens of the request
	 */
	public void hold(long tokens) {
		this.held += tokens;
	}

	/**
	 * Ends the hold of a request that is abandoned or refused.
	 * @param tokens number of tokens of the request
	 */
	public void endHold(long tokens) {
		this.held -= tokens;
	}

	/**
	 * Ends the hold of a request whose demand was answered, and spends its tokens if the
	 * balance covers them now. One that is larger than the slack, of which the owner
	 * leases a part only, may overdraw the account after a slice.
	 * @param tokens number of tokens of the request
	 * @return whether the tokens were spent and the request is admitted
	 */
	public boolean spendAnswered(long tokens) {
		endHold(tokens);
		boolean tooLarge = tokens > this.limit.slack() && this.reports.leased() > 0;
		return spendIfCovered(tokens) || (tooLarge && overdraw(tokens, false));
	}

	/**
	 * Ends the hold of a request that has waited for {@link #REPLY_TIMEOUT_MILLIS}, and
	 * spends its tokens if the balance covers them. While the owner does not reply, a
	 * positive balance is enough.
	 * @param tokens number of tokens of the request
	 * @param now the current time
	 * @return whether the tokens were spent and the request is admitted
	 */
	public boolean spendOverdue(long tokens, long now) {
		endHold(tokens);
		accrue(this.members, now);
		return this.reports.isReplyOverdue(now) ? overdraw(tokens, false) : spendIfCovered(tokens);
	}

	private void accrue(int memberCount, long now) {
		this.share = (double) this.limit.tokensPerSecond() / Math.max(1, memberCount);
		long from = Math.max(this.accruedAt, shareAccruesFrom());
		if (now >= from) {
			double accrued = this.share * (now - from) / 1000.0;
			this.balance = Math.max(this.balance, Math.min(maxBalance(this.share), this.balance + accrued));
		}
		this.accruedAt = now;
	}

	// An account with a burst reports only what it lacks, so that it may be without a
	// valid slice although its owner replies.
	private long shareAccruesFrom() {
		if (!hasBurst()) {
			return this.leasedUntil;
		}
		return this.reports.isUnanswered() ? this.reports.unansweredSince() + UNANSWERED_MILLIS : NEVER;
	}

	/**
	 * Returns the tokens of a request that did not run to the balance.
	 * @param tokens number of tokens of the request
	 */
	public void refund(long tokens) {
		this.balance += tokens;
	}

	/**
	 * Credits a leased slice. A slice for a demand that was answered before, or that is
	 * older than one answered before, is ignored.
	 * @param tokens leased tokens
	 * @param validMillis validity of the slice in milliseconds; no even share accrues
	 * meanwhile
	 * @param leaseSequence sequence number of the demand report that the slice answers
	 * @param now the current time
	 */
	public void lease(long tokens, long validMillis, long leaseSequence, long now) {
		if (!this.reports.answered(tokens, leaseSequence, now)) {
			return;
		}
		this.leasedUntil = now + validMillis;
		this.accruedAt = now;
		double capWithoutBurst = Math.max(tokens, this.limit.tokensPerSecond() * PERIOD_MILLIS / 1000.0);
		this.balance = Math.min(this.balance + tokens, maxBalance(capWithoutBurst) + this.held);
	}

	private double maxBalance(double capWithoutBurst) {
		return hasBurst() ? this.limit.capacity(this.members) : capWithoutBurst;
	}

	private boolean hasBurst() {
		return this.limit.hasBurst();
	}

	/**
	 * Returns the demand to report to the quota owner if a report is due, and counts it
	 * as reported. An account with a burst demands the tokens that its balance lacks. An
	 * account without one demands what was requested since the last report plus a
	 * quarter, and its debt.
	 * @param now the current time
	 * @return tokens demanded for a period, or -1 if no report is due or the account is
	 * idle
	 */
	public long demandToReport(long now) {
		if (now < reportDueAt() || isIdle(now)) {
			return -1;
		}
		long wanted = hasBurst() ? missingTokens() : demandWithReserve();
		this.demand = 0;
		this.reports.sent(Math.max(1, wanted - (long) lowBalance()), now);
		return wanted;
	}

	/**
	 * Returns when the next demand report is due.
	 * @return the time in milliseconds
	 */
	public long reportDueAt() {
		return this.reports.dueAfter(reportPeriod());
	}

	private long reportPeriod() {
		if (!hasBurst()) {
			return PERIOD_MILLIS;
		}
		if (this.held > 0 || this.balance <= 0) {
			return this.reports.shortagePeriod();
		}
		boolean low = this.demand > 0 && this.balance < lowBalance();
		return low ? LOW_BALANCE_PERIOD_MILLIS : NEVER;
	}

	private double lowBalance() {
		return this.limit.capacity(this.members) / 2;
	}

	/**
	 * Returns whether the quota owner has yet to reply to the last demand report.
	 * @param now the current time
	 * @return {@code false} also if the reply is overdue
	 */
	public boolean isAwaitingSlice(long now) {
		return this.reports.isReplyAwaited(now);
	}

	private long missingTokens() {
		return (long) Math.ceil(Math.max(0, this.limit.capacity(this.members) - this.balance + this.held));
	}

	private long demandWithReserve() {
		long debt = (long) Math.max(0, -this.balance);
		return this.demand + this.demand / 4 + debt;
	}

	/**
	 * Returns the sequence number of the last demand report.
	 * @return the sequence
	 */
	public long sequence() {
		return this.reports.sequence();
	}

	/**
	 * Returns the sequence number of the latest demand report that the quota owner has
	 * answered.
	 * @return the sequence; 0 if it has answered none
	 */
	public long answeredSequence() {
		return this.reports.answeredSequence();
	}

	/**
	 * Returns the limit given with the last request, or at the start if there was none.
	 * @return the limit
	 */
	public OrganisationLimit limit() {
		return this.limit;
	}

	/**
	 * Returns whether no request has arrived for 5 seconds.
	 * @param now the current time
	 * @return whether the account may be closed
	 */
	public boolean isIdle(long now) {
		return now - this.lastRequestAt > IDLE_MILLIS;
	}

	/**
	 * Describes why requests are refused, for logs.
	 * @param now the current time
	 * @return the balance, the limit and the latest exchange with the owner of the limit
	 */
	public String describe(long now) {
		return "%d tokens left of %d, %d a second among %d daemons, %s".formatted((long) this.balance,
				(long) this.limit.capacity(this.members), this.limit.tokensPerSecond(), this.members,
				this.reports.describe(now));
	}

	/**
	 * Returns the time after which a refused request may be retried, estimated from the
	 * debt and the even share.
	 * @return milliseconds, from 500 to 30,000
	 */
	public long retryAfterMillis() {
		double millis = -this.balance / Math.max(1, this.share) * 1000;
		return Math.max(MIN_RETRY_MILLIS, Math.min(MAX_RETRY_MILLIS, (long) millis));
	}

}
