package org.sardineport.core.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import org.sardineport.core.identity.PoolName;

/**
 * This daemon's part of the retries that the whole fleet may make in any window: a share
 * of the requests it gets itself, and its part of a fixed number. Times are milliseconds
 * of one steady clock. Not safe for use by several threads.
 */
public final class RetryAllowance {

	private static final int SPANS = 20;

	/** Share of the fixed number that is given out, as windows of others may overlap. */
	private static final double SLACK_USED = 0.6;

	private final double ratio;

	private final int slack;

	private final long spanMillis;

	private final Map<PoolName, Window> windows = new HashMap<>();

	private RetryAllowance(double ratio, int slack, Duration window) {
		this.ratio = ratio;
		this.slack = slack;
		this.spanMillis = Math.max(1, window.toMillis() / SPANS);
	}

	/**
	 * Returns an allowance of which nothing is used.
	 * @param ratio retries for each request
	 * @param slack retries that the fleet may make besides
	 * @param window the window in which both are counted
	 * @return the allowance
	 */
	public static RetryAllowance of(double ratio, int slack, Duration window) {
		Objects.requireNonNull(window, "window must not be null");
		return new RetryAllowance(ratio, slack, window);
	}

	/**
	 * Counts a request of a caller.
	 * @param pool where it goes
	 * @param now the current time
	 */
	public void requested(PoolName pool, long now) {
		Window window = window(pool, now);
		window.requests[window.index()]++;
	}

	/**
	 * Takes one retry.
	 * @param pool where it goes
	 * @param sharers daemons among which the fixed number is shared, at least 1
	 * @param now the current time
	 * @return whether the retry may be made
	 */
	public boolean trySpend(PoolName pool, int sharers, long now) {
		Window window = window(pool, now);
		double allowed = this.ratio * sum(window.requests) + SLACK_USED * this.slack / Math.max(1, sharers);
		if (sum(window.retries) + 1 > allowed) {
			return false;
		}
		window.retries[window.index()]++;
		return true;
	}

	private Window window(PoolName pool, long now) {
		Window window = this.windows.computeIfAbsent(pool, (key) -> new Window());
		window.advance(now / this.spanMillis);
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
	 * Counts of one pool, one for each span of the window.
	 */
	private static final class Window {

		private final int[] requests = new int[SPANS];

		private final int[] retries = new int[SPANS];

		private long span;

		private int index() {
			return (int) (this.span % SPANS);
		}

		private void advance(long current) {
			for (long next = Math.max(this.span + 1, current - SPANS + 1); next <= current; next++) {
				this.requests[(int) (next % SPANS)] = 0;
				this.retries[(int) (next % SPANS)] = 0;
			}
			this.span = Math.max(this.span, current);
		}

	}

}
