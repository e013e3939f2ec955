package org.sardineport.core.limit;

/**
 * Bounds retries to a share of first tries, with a reserve for quiet times. Not safe for
 * use by several threads.
 */
public final class RetryBudget {

	/** Retries earned by each first try. */
	private static final double SHARE = 0.5;

	/** Most retries saved up. */
	private static final double RESERVE = 100;

	private double balance = RESERVE;

	private RetryBudget() {
	}

	/**
	 * Returns a budget with a full reserve.
	 * @return the budget
	 */
	public static RetryBudget create() {
		return new RetryBudget();
	}

	/**
	 * Counts a first try.
	 */
	public void tried() {
		this.balance = Math.min(RESERVE, this.balance + SHARE);
	}

	/**
	 * Spends one retry.
	 * @return whether one was left
	 */
	public boolean spend() {
		if (this.balance < 1) {
			return false;
		}
		this.balance--;
		return true;
	}

}
