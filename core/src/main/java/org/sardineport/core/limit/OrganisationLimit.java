package org.sardineport.core.limit;

/**
 * What an organisation may use over the whole fleet. Over any time it may use what its
 * rate gives in that time, its burst, which the daemons share, and the slack, which the
 * owner of the limit gives to those that miss tokens.
 *
 * @param tokensPerSecond rate in tokens a second; 0 for no limit
 * @param burst tokens that may be saved up while less is used; 0 for half a second's
 * @param slack tokens that may be saved up beside the burst
 */
public record OrganisationLimit(long tokensPerSecond, long burst, long slack) {

	/** No limit. */
	public static final OrganisationLimit NONE = new OrganisationLimit(0, 0, 0);

	/**
	 * Creates the limit.
	 * @throws IllegalArgumentException if a number is negative
	 */
	public OrganisationLimit {
		if (tokensPerSecond < 0 || burst < 0 || slack < 0) {
			throw new IllegalArgumentException("numbers of a limit must not be negative, found %d, %d and %d"
				.formatted(tokensPerSecond, burst, slack));
		}
	}

	/**
	 * Returns a limit on the rate alone.
	 * @param tokensPerSecond rate in tokens a second; 0 for no limit
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
	 * Returns whether tokens that are not used are saved up.
	 * @return whether there is a burst
	 */
	public boolean savesUp() {
		return this.burst > 0;
	}

	/**
	 * Returns the most tokens that one of several daemons saves up.
	 * @param members daemons that share the limit
	 * @return tokens
	 */
	double capacity(int members) {
		return (double) this.burst / Math.max(1, members);
	}

}
