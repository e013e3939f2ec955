package org.sardineport.core.limit;

/**
 * Fleet-wide token limit of an organisation. In any interval the organisation may use the
 * tokens that its rate yields in the interval, plus the burst, which is divided among the
 * daemons, plus the slack, which the owner of the limit leases to daemons that are short
 * of tokens.
 *
 * @param tokensPerSecond rate in tokens per second; 0 for no limit
 * @param burst tokens that may accumulate while less than the rate is used; 0 for those
 * of half a second
 * @param slack tokens that may accumulate in addition to the burst
 */
public record OrganisationLimit(long tokensPerSecond, long burst, long slack) {

	/** Part of the slack that the owner may lease beforehand. */
	private static final double POOL_DEBT_SHARE = 0.6;

	/** No limit. */
	public static final OrganisationLimit NONE = new OrganisationLimit(0, 0, 0);

	/**
	 * Creates the limit and checks its bounds.
	 * @throws IllegalArgumentException if a number is negative
	 */
	public OrganisationLimit {
		if (tokensPerSecond < 0 || burst < 0 || slack < 0) {
			throw new IllegalArgumentException("numbers of a limit must not be negative, found %d, %d and %d"
				.formatted(tokensPerSecond, burst, slack));
		}
	}

	/**
	 * Returns a limit on the rate alone, without burst or slack.
	 * @param tokensPerSecond rate in tokens per second; 0 for no limit
	 * @return the limit
	 */
	public static OrganisationLimit rate(long tokensPerSecond) {
		return new OrganisationLimit(tokensPerSecond, 0, 0);
	}

	/**
	 * Returns whether there is a limit.
	 * @return whether the rate is above 0
	 */
	public boolean isLimited() {
		return this.tokensPerSecond > 0;
	}

	/**
	 * Returns whether unused tokens accumulate.
	 * @return whether the burst is above 0
	 */
	public boolean hasBurst() {
		return this.burst > 0;
	}

	/**
	 * Returns the maximum debt of one daemon's account. The debts of all accounts and of
	 * the owner's pool stay within the slack, so that usage exceeds what accumulated by
	 * no more than that.
	 * @param memberCount number of daemons that share the limit
	 * @return tokens
	 */
	double maxAccountDebt(int memberCount) {
		return (1 - POOL_DEBT_SHARE) * this.slack / Math.max(1, memberCount);
	}

	/**
	 * Returns the maximum debt of the owner's pool.
	 * @return tokens
	 */
	double maxPoolDebt() {
		return POOL_DEBT_SHARE * this.slack;
	}

	/**
	 * Returns the maximum number of tokens that one daemon accumulates.
	 * @param memberCount number of daemons that share the limit
	 * @return the burst divided evenly among the daemons
	 */
	double capacity(int memberCount) {
		return (double) this.burst / Math.max(1, memberCount);
	}

}
