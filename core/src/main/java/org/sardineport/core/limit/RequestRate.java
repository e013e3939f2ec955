package org.sardineport.core.limit;

/**
 * Bounds the rate at which one backend server gets requests to the limit that it states:
 * a token bucket, of which each request takes one token. The bucket is empty when a limit
 * begins. All times are milliseconds of one clock. Not thread-safe.
 */
public final class RequestRate {

	/** Time whose tokens the bucket can hold, in seconds; it holds at least one. */
	private static final double BURST_SECONDS = 0.25;

	private static final double MILLIS_PER_SECOND = 1000;

	/** Compensates for rounding errors in the sum of partial tokens. */
	private static final double TOLERANCE = 1e-9;

	private RateLimit limit = RateLimit.NONE;

	private long statedAt = Long.MIN_VALUE;

	private double tokens;

	private long filledAt;

	private RequestRate() {
	}

	/**
	 * Returns a rate without a limit.
	 * @return the rate
	 */
	public static RequestRate unlimited() {
		return new RequestRate();
	}

	/**
	 * Applies a limit that the backend server has stated, unless a later statement is
	 * known.
	 * @param stated the limit, or {@link RateLimit#NONE} if it stated that there is none
	 * @param time when it stated that
	 * @param now the current time
	 * @return whether another limit applies than before
	 */
	public boolean apply(RateLimit stated, long time, long now) {
		if (time < this.statedAt) {
			return false;
		}
		this.statedAt = time;
		if (stated.equals(this.limit)) {
			return false;
		}
		fill(now);
		this.tokens = this.limit.isLimited() ? this.tokens : 0;
		this.limit = stated;
		return true;
	}

	/**
	 * Empties the bucket, because others may have sent requests meanwhile.
	 * @param now the current time
	 */
	public void empty(long now) {
		this.tokens = 0;
		this.filledAt = now;
	}

	/**
	 * Returns the limit that applies.
	 * @return the limit
	 */
	public RateLimit limit() {
		return this.limit;
	}

	/**
	 * Returns whether a request may be sent now.
	 * @param now the current time
	 * @return whether there is no limit or a token
	 */
	public boolean hasToken(long now) {
		return millisUntil(1, now) == 0;
	}

	/**
	 * Takes the token of a request that is sent now.
	 * @param now the current time
	 */
	public void take(long now) {
		if (this.limit.isLimited()) {
			fill(now);
			this.tokens = Math.max(0, this.tokens - 1);
		}
	}

	/**
	 * Returns when the last of several requests may be sent.
	 * @param requests number of requests, at least 1
	 * @param now the current time
	 * @return milliseconds from now
	 */
	public long millisUntil(int requests, long now) {
		if (!this.limit.isLimited()) {
			return 0;
		}
		fill(now);
		double missing = requests - this.tokens - TOLERANCE;
		return (missing <= 0) ? 0 : (long) Math.ceil(missing * this.limit.millisPerRequest());
	}

	private void fill(long now) {
		double perSecond = MILLIS_PER_SECOND / this.limit.millisPerRequest();
		double capacity = Math.max(1, perSecond * BURST_SECONDS);
		double gained = Math.max(0, now - this.filledAt) / this.limit.millisPerRequest();
		this.tokens = Math.min(capacity, this.tokens + gained);
		this.filledAt = Math.max(this.filledAt, now);
	}

}
