package org.sardineport.core.limit;

/**
 * Demand reports of one account to the quota owner, and the replies to them: which report
 * is answered, and how long to wait before the next one. Times are in milliseconds of one
 * clock. Not thread-safe.
 */
final class DemandReports {

	/** Time within which the quota owner replies to a report, in milliseconds. */
	static final long REPLY_TIMEOUT_MILLIS = 100;

	/** Bounds of the time between two reports of an account that is short of tokens. */
	private static final long MIN_SHORTAGE_PERIOD_MILLIS = 25;

	private static final long MAX_SHORTAGE_PERIOD_MILLIS = QuotaAccount.PERIOD_MILLIS;

	private long reportedAt;

	private long sequence;

	private long answeredSequence;

	/** When the first report after the latest reply was sent. */
	private long unansweredSince;

	/** Tokens without which the latest demand is not met. */
	private long needed;

	private long leased;

	private long leasedAt;

	private long shortagePeriod = MIN_SHORTAGE_PERIOD_MILLIS;

	private DemandReports(long reportedAt) {
		this.reportedAt = reportedAt;
	}

	/**
	 * Returns an instance without reports.
	 * @param reportedAt time from which the time to the first report counts
	 * @return the instance
	 */
	static DemandReports startingAt(long reportedAt) {
		return new DemandReports(reportedAt);
	}

	/**
	 * Records a report.
	 * @param tokensNeeded tokens without which the demand is not met
	 * @param now the current time
	 */
	void sent(long tokensNeeded, long now) {
		this.unansweredSince = isUnanswered() ? this.unansweredSince : now;
		this.needed = tokensNeeded;
		this.reportedAt = now;
		this.sequence++;
	}

	/**
	 * Records a reply, unless the same report or a later one was answered before. The
	 * time between reports doubles with each one that does not meet the demand.
	 * @param tokens leased tokens
	 * @param replySequence sequence number of the report that it answers
	 * @param now the current time
	 * @return whether it is new
	 */
	boolean answered(long tokens, long replySequence, long now) {
		if (replySequence <= this.answeredSequence) {
			return false;
		}
		this.answeredSequence = replySequence;
		this.leased = tokens;
		this.leasedAt = now;
		this.shortagePeriod = (tokens < this.needed) ? Math.min(2 * this.shortagePeriod, MAX_SHORTAGE_PERIOD_MILLIS)
				: MIN_SHORTAGE_PERIOD_MILLIS;
		return true;
	}

	/**
	 * Returns whether the latest report is not answered yet.
	 * @return {@code false} also before the first one
	 */
	boolean isUnanswered() {
		return this.sequence > this.answeredSequence;
	}

	/**
	 * Returns since when the quota owner has not replied.
	 * @return the time of the first report without a reply; of no meaning if there is
	 * none
	 */
	long unansweredSince() {
		return this.unansweredSince;
	}

	/**
	 * Returns whether a reply to the latest report may still come.
	 * @param now the current time
	 * @return {@code false} if there is one, or if it is overdue
	 */
	boolean isReplyAwaited(long now) {
		return isUnanswered() && now - this.reportedAt < REPLY_TIMEOUT_MILLIS;
	}

	/**
	 * Returns whether the quota owner has not replied in time.
	 * @param now the current time
	 * @return {@code false} if nothing was reported since its latest reply
	 */
	boolean isReplyOverdue(long now) {
		return isUnanswered() && now - this.unansweredSince >= REPLY_TIMEOUT_MILLIS;
	}

	/**
	 * Returns when the next report is due.
	 * @param period time between two reports
	 * @return the time; not before a reply to the latest report is overdue
	 */
	long dueAfter(long period) {
		return this.reportedAt + Math.max(isUnanswered() ? REPLY_TIMEOUT_MILLIS : 0, period);
	}

	/**
	 * Returns the time between two reports of an account that holds requests or is in
	 * debt.
	 * @return milliseconds
	 */
	long shortagePeriod() {
		return this.shortagePeriod;
	}

	long sequence() {
		return this.sequence;
	}

	long answeredSequence() {
		return this.answeredSequence;
	}

	/**
	 * Returns what the latest reply leased.
	 * @return tokens; 0 before any
	 */
	long leased() {
		return this.leased;
	}

	/**
	 * Describes the latest exchange, for logs.
	 * @param now the current time
	 * @return the latest report and reply
	 */
	String describe(long now) {
		String lease = (this.answeredSequence > 0)
				? "%d tokens leased %d ms ago".formatted(this.leased, now - this.leasedAt) : "none leased yet";
		String asked = isUnanswered() ? "asked %d ms ago".formatted(now - this.reportedAt) : "nothing asked";
		return lease + ", " + asked;
	}

}
