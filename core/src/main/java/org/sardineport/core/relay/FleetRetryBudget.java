package org.sardineport.core.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import org.sardineport.core.identity.PoolName;

/**
 * This daemon's part of the fleet-wide retry budget, counted for each pool over a sliding
 * window. The budget is a fraction of the requests that this daemon receives, plus its
 * share of a fixed number of retries. Times are milliseconds of one steady clock. Not
 * thread-safe.
 */
public final class FleetRetryBudget {

	private static final int BUCKETS = 20;

	/**
	 * Fraction of the fixed number that is granted, because the windows of the daemons
	 * may overlap.
	 */
	private static final double SLACK_SHARE = 0.6;

	private final double ratio;

	private final int slack;

	private final long bucketMillis;

	private final Map<PoolName, Window> windows = new HashMap<>();

	private FleetRetryBudget(double ratio, int slack, Duration window) {
		this.ratio = ratio;
		this.slack = slack;
		this.bucketMillis = Math.max(1, window.toMillis() / BUCKETS);
	}

	/**
	 * Returns an unused budget.
	 * @param ratio retries allowed for each request
	 * @param slack fixed number of retries that the whole fleet may make in addition
	 * @param window length of the sliding window
	 * @return the budget
	 */
	public static FleetRetryBudget of(double ratio, int slack, Duration window) {
		Objects.requireNonNull(window, "window must not be null");
		return new FleetRetryBudget(ratio, slack, window);
	}

	/**
	 * Counts a request received from a caller.
	 * @param pool the pool of the request
	 * @param now the current time
	 */
	public void requested(PoolName pool, long now) {
		Window window = window(pool, now);
		window.requestCounts[window.index()]++;
	}

	/**
	 * Takes one retry from the budget if any remains.
	 * @param pool the pool of the retry
	 * @param daemons number of daemons that share the fixed number; smaller values count
	 * as 1
	 * @param now the current time
	 * @return {@code true} if the retry may be made
	 */
	public boolean trySpend(PoolName pool, int daemons, long now) {
		Window window = window(pool, now);
		double allowed = this.ratio * sum(window.requestCounts) + SLACK_SHARE * this.slack / Math.max(1, daemons);
		if (sum(window.retryCounts) + 1 > allowed) {
			return false;
		}
		window.retryCounts[window.index()]++;
		return true;
	}

	/**
	 * Returns a retry that was taken and not made. Has no effect once it has left the
	 * window.
	 * @param pool the pool of the retry
	 * @param spentAt the time at which it was taken
	 * @param now the current time
	 */
	public void refund(PoolName pool, long spentAt, long now) {
		window(pool, now).removeRetry(spentAt / this.bucketMillis);
	}

	private Window window(PoolName pool, long now) {
		Window window = this.windows.computeIfAbsent(pool, (key) -> new Window());
		window.advance(now / this.bucketMillis);
		return window;
	}

	private static int sum(int[] counts) {
		int sum = 0;
		for (int count : counts) {
			sum += count;
		}
		return sum;
	}

	/**
	 * Sliding window of one pool, as a ring of counts for each bucket.
	 */
	private static final class Window {

		private final int[] requestCounts = new int[BUCKETS];

		private final int[] retryCounts = new int[BUCKETS];

		private long bucket;

		private int index() {
			return (int) (this.bucket % BUCKETS);
		}

		private void removeRetry(long spentBucket) {
			int spentIndex = (int) (spentBucket % BUCKETS);
			if (spentBucket > this.bucket - BUCKETS && this.retryCounts[spentIndex] > 0) {
				this.retryCounts[spentIndex]--;
			}
		}

		private void advance(long currentBucket) {
			for (long next = Math.max(this.bucket + 1, currentBucket - BUCKETS + 1); next <= currentBucket; next++) {
				this.requestCounts[(int) (next % BUCKETS)] = 0;
				this.retryCounts[(int) (next % BUCKETS)] = 0;
			}
			this.bucket = Math.max(this.bucket, currentBucket);
		}

	}

}
