package org.sardineport.core.routing;

/**
 * Speed of a backend server: time to the first token as a line over prompt tokens, and
 * time per answer token as a line over the number of requests that run beside each other.
 *
 * @param prefillMillisBase milliseconds to the first token of an empty prompt
 * @param prefillMillisPerToken milliseconds to prefill one prompt token
 * @param decodeMillisBase milliseconds for each answer token of a request that runs alone
 * @param decodeMillisPerRunning milliseconds that each further running request adds
 */
public record Speed(double prefillMillisBase, double prefillMillisPerToken, double decodeMillisBase,
		double decodeMillisPerRunning) {

	/** Assumed until something was measured; fast, so that nothing is refused unseen. */
	public static final Speed UNKNOWN = new Speed(0, 0.05, 5, 0);

	/**
	 * Returns the time to prefill a prompt.
	 * @param tokens prompt tokens that are not cached
	 * @return milliseconds
	 */
	public double prefillMillis(double tokens) {
		return this.prefillMillisBase + tokens * this.prefillMillisPerToken;
	}

	/**
	 * Returns the time to generate an answer.
	 * @param tokens tokens of the answer
	 * @param running requests that run beside each other, this one included
	 * @return milliseconds
	 */
	public double decodeMillis(double tokens, int running) {
		return tokens * (this.decodeMillisBase + this.decodeMillisPerRunning * Math.max(0, running - 1));
	}

	/**
	 * Returns this speed with all times multiplied.
	 * @param factor the factor; more than 1 is slower
	 * @return the speed
	 */
	public Speed times(double factor) {
		return (factor == 1) ? this : new Speed(this.prefillMillisBase * factor, this.prefillMillisPerToken * factor,
				this.decodeMillisBase * factor, this.decodeMillisPerRunning * factor);
	}

}
