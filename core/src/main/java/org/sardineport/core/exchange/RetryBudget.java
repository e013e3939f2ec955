package org.sardineport.core.exchange;

/**
 * Bounds retries to a share of the requests, so that retries cannot multiply an outage.
 * Safe for use by any thread.
 */
public final class RetryBudget {

	private static final int UNITS_PER_RETRY = 10;

	/** Units that a new request earns where retries cost little: one retry each. */
	private static final int UNITS_OF_CHEAP = UNITS_PER_RETRY;

	private static final int MAXIMUM_RETRIES = 100;

	private int units = UNITS_PER_RETRY * MAXIMUM_RETRIES;

	private final int unitsEarned;

	private RetryBudget(int unitsEarned) {
		this.unitsEarned = unitsEarned;
	}

	/**
	 * Returns a full budget.
	 * @return the budget
	 */
	public static RetryBudget create() {
		return new RetryBudget(1);
	}

	/**
	 * Returns a full budget for retries that cost a message between daemons and no work
	 * of a backend server.
	 * @return the budget
	 */
	public static RetryBudget ofMessages() {
		return new RetryBudget(UNITS_OF_CHEAP);
	}

	/** Counts a new request, which earns a part of a retry. */
	public synchronized void earn() {
		this.units = Math.min(this.units + this.unitsEarned, UNITS_PER_RETRY * MAXIMUM_RETRIES);
	}

	/**
	 * Takes one retry out of the budget.
	 * @return whether there was one
	 */
	public synchronized boolean trySpend() {
		if (this.units < UNITS_PER_RETRY) {
			return false;
		}
		this.units -= UNITS_PER_RETRY;
		return true;
	}

}
