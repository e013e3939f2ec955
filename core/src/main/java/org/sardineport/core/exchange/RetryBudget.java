package org.sardineport.core.exchange;

/**
 * Bounds retries to a share of the requests, so that retries cannot multiply an outage.
 * Safe for use by any thread.
 */
public final class RetryBudget {

	private static final int UNITS_PER_RETRY = 10;

	private static final int MAXIMUM_RETRIES = 100;

	private int units = UNITS_PER_RETRY * MAXIMUM_RETRIES;

	private RetryBudget() {
	}

	/**
	 * Returns a full budget.
	 * @return the budget
	 */
	public static RetryBudget create() {
		return new RetryBudget();
	}

	/** Counts a new request, which earns a tenth of a retry. */
	public synchronized void earn() {
		this.units = Math.min(this.units + 1, UNITS_PER_RETRY * MAXIMUM_RETRIES);
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
