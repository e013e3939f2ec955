package org.sardineport.core.exchange;

/**
 * Limits retries to a fraction of the requests, so that retries do not amplify an outage.
 * Thread-safe.
 */
public final class RetryBudget {

	private static final int UNITS_PER_RETRY = 10;

	/**
	 * Units earned by each request where retries are cheap: one retry for each request.
	 */
	private static final int UNITS_EARNED_FOR_MESSAGES = UNITS_PER_RETRY;

	private static final int MAX_RETRIES = 100;

	private int units = UNITS_PER_RETRY * MAX_RETRIES;

	private final int unitsEarned;

	private RetryBudget(int unitsEarned) {
		this.unitsEarned = unitsEarned;
	}

	/**
	 * Returns a full budget, to which every ten requests add one retry.
	 * @return the budget
	 */
	public static RetryBudget create() {
		return new RetryBudget(1);
	}

	/**
	 * Returns a full budget for retries that cost only a message between daemons and no
	 * work on a backend server. Each request adds one retry.
	 * @return the budget
	 */
	public static RetryBudget forMessages() {
		return new RetryBudget(UNITS_EARNED_FOR_MESSAGES);
	}

	/** Counts a new request, which adds to the budget up to its maximum. */
	public synchronized void earn() {
		this.units = Math.min(this.units + this.unitsEarned, UNITS_PER_RETRY * MAX_RETRIES);
	}

	/**
	 * Takes one retry from the budget if any remains.
	 * @return {@code true} if the retry may be made
	 */
	public synchronized boolean trySpend() {
		if (this.units < UNITS_PER_RETRY) {
			return false;
		}
		this.units -= UNITS_PER_RETRY;
		return true;
	}

}
