package org.sardineport.core.routing;

/**
 * Learns how soon one daemon replies to the permit requests of this one, and how many of
 * them it answers in time. A daemon whose processor is short reads messages late, and one
 * that gets more requests than it can read answers none in time. Times are milliseconds
 * of one clock. Not thread-safe.
 */
public final class ReplyTime {

	/** Weight of a new measurement in the moving average of the time. */
	private static final double MEAN_WEIGHT = 0.25;

	/** Weight of a new measurement in the moving average of its deviation. */
	private static final double DEVIATION_WEIGHT = 0.25;

	/** Number of mean deviations above the mean within which a reply is expected. */
	private static final int DEVIATIONS = 4;

	/** Time without measurement after which the expected time has halved. */
	private static final double HALF_LIFE_MILLIS = 1000;

	/** Time after which an outcome counts half. */
	private static final double OUTCOME_HALF_LIFE_MILLIS = 2000;

	/** Permit requests that may be sent for each one that is answered in time. */
	private static final double REQUESTS_PER_REPLY = 1.5;

	/**
	 * Number of outcomes that are added as successes, so that a few lost messages do not
	 * count as overload.
	 */
	private static final double ASSUMED_REPLIES = 2;

	/** Smallest share of requests that is sent, to notice when replies come again. */
	private static final double MIN_SHARE = 0.05;

	/** Time without any message after which a daemon counts as silent. */
	private static final long SILENT_MILLIS = 300;

	/** Time between the first two permit requests to a silent daemon; it doubles. */
	private static final long SILENT_INTERVAL_MILLIS = 1000;

	/** Number of times that the interval doubles. */
	private static final int MAX_SILENT_DOUBLINGS = 3;

	private static final long NEVER = Long.MAX_VALUE;

	private double mean;

	private double deviation;

	private boolean measured;

	private long measuredAt;

	private long heardAt = Long.MIN_VALUE;

	private long unheardSince = NEVER;

	private long askedAt;

	private int asksOfSilent;

	private double offered;

	private double answered;

	private long outcomesAt;

	private ReplyTime() {
	}

	/**
	 * Returns an instance without measurements.
	 * @return the instance
	 */
	public static ReplyTime create() {
		return new ReplyTime();
	}

	/**
	 * Records that a permit was requested.
	 * @param now the current time
	 */
	public void asked(long now) {
		if (this.unheardSince < now - SILENT_MILLIS) {
			this.asksOfSilent = Math.min(this.asksOfSilent + 1, MAX_SILENT_DOUBLINGS);
		}
		this.askedAt = now;
		this.unheardSince = Math.min(this.unheardSince, now);
	}

	/**
	 * Returns for how long the daemon has been silent since a permit was requested.
	 * @param now the current time
	 * @return milliseconds; 0 if it is not
	 */
	public long silentMillis(long now) {
		return Math.max(0, now - this.unheardSince);
	}

	/**
	 * Returns whether to wait for a message of the daemon before a permit is requested.
	 * @param now the current time
	 * @return whether it has been silent since a permit was requested, and one was
	 * requested lately
	 */
	public boolean isAwaited(long now) {
		return this.unheardSince < now - SILENT_MILLIS
				&& this.askedAt > now - (SILENT_INTERVAL_MILLIS << this.asksOfSilent);
	}

	/**
	 * Records a reply that came while its request waited for it.
	 * @param millis time since the permit request was sent for the first time
	 * @param now the current time
	 */
	public void replied(long millis, long now) {
		measure(millis, now);
		decayOutcomes(now);
		this.offered++;
		this.answered++;
	}

	/**
	 * Records that a message came from the daemon.
	 * @param now the current time
	 */
	public void heard(long now) {
		this.heardAt = now;
		this.unheardSince = NEVER;
		this.asksOfSilent = 0;
	}

	/**
	 * Returns whether a message came from the daemon.
	 * @param instant time since when it counts
	 * @return whether one came at that time or later
	 */
	public boolean isHeardSince(long instant) {
		return this.heardAt >= instant;
	}

	/**
	 * Records that a request no longer waits for the reply.
	 * @param millis time since the permit request was sent for the first time
	 * @param now the current time
	 */
	public void missed(long millis, long now) {
		if (millis > expectedMillis(now)) {
			measure(millis, now);
		}
		decayOutcomes(now);
		this.offered++;
	}

	/**
	 * Records that a permit request was not sent, as too few are answered in time.
	 * @param now the current time
	 */
	public void withheld(long now) {
		decayOutcomes(now);
		this.offered++;
	}

	private void measure(double millis, long now) {
		if (this.measured) {
			this.deviation += DEVIATION_WEIGHT * (Math.abs(millis - this.mean) - this.deviation);
			this.mean += MEAN_WEIGHT * (millis - this.mean);
		}
		else {
			this.mean = millis;
			this.deviation = millis / 2;
			this.measured = true;
		}
		this.measuredAt = now;
	}

	private void decayOutcomes(long now) {
		double factor = Math.pow(0.5, Math.max(0, now - this.outcomesAt) / OUTCOME_HALF_LIFE_MILLIS);
		this.offered *= factor;
		this.answered *= factor;
		this.outcomesAt = now;
	}

	/**
	 * Returns the time within which a reply is to be expected. A daemon that was not
	 * asked for a while is expected to have become faster.
	 * @param now the current time
	 * @return milliseconds; 0 before the first measurement
	 */
	public double expectedMillis(long now) {
		return this.measured ? this.mean * Math.pow(0.5, Math.max(0, now - this.measuredAt) / HALF_LIFE_MILLIS) : 0;
	}

	/**
	 * Returns the time after which a permit request or its reply is taken for lost.
	 * @return milliseconds; 0 before the first measurement
	 */
	public long timeoutMillis() {
		return (long) (this.mean + DEVIATIONS * this.deviation);
	}

	/**
	 * Returns the share of requests for which a permit is to be requested. The others are
	 * better sent elsewhere or refused at once than read too late.
	 * @param now the current time
	 * @return the share, above 0 and at most 1
	 */
	public double requestShare(long now) {
		decayOutcomes(now);
		double excess = this.offered - REQUESTS_PER_REPLY * this.answered;
		return Math.min(1, Math.max(MIN_SHARE, 1 - excess / (this.offered + ASSUMED_REPLIES)));
	}

}
