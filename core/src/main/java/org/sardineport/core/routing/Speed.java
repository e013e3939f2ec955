package org.sardineport.core.routing;

/**
 * Speed of a backend server. The time to the first token is linear in the prompt tokens,
 * and the time per response token is linear in the number of concurrent requests.
 *
 * @param prefillMillisBase milliseconds to the first token of an empty prompt
 * @param prefillMillisPerToken milliseconds to prefill one prompt token
 * @param decodeMillisBase milliseconds per response token of a request that runs alone
 * @param decodeMillisPerRunning milliseconds per response token that each further
 * concurrent request adds
 */
public record Speed(double prefillMillisBase, double prefillMillisPerToken, double decodeMillisBase,
		double decodeMillisPerRunning) {

	/**
	 * Assumed until the first measurement. It is fast, so that no request is refused
	 * because of a mere assumption.
	 */
	public static final Speed UNKNOWN = new Speed(0, 0.05, 5, 0);

	/**
	 * Returns the time to the first token of a prompt that does not wait behind others.
	 * @param tokens prompt tokens that are not cached
	 * @return milliseconds
	 */
	public double prefillMillis(double tokens) {
		return this.prefillMillisBase + tokens * this.prefillMillisPerToken;
	}

	/**
	 * Returns the time to generate a response after its prompt is prefilled.
	 * @param tokens response tokens
	 * @param running concurrent requests, including this one
	 * @return milliseconds
	 */
	public double decodeMillis(double tokens, int running) {
		return tokens * (this.decodeMillisBase + this.decodeMillisPerRunning * Math.max(0, running - 1));
	}

	/**
	 * Returns a speed with all times multiplied by a factor.
	 * @param factor the factor; above 1 is slower
	 * @return the speed
	 */
	public Speed scaledBy(double factor) {
		return (factor == 1) ? this : new Speed(this.prefillMillisBase * factor, this.prefillMillisPerToken * factor,
				this.decodeMillisBase * factor, this.decodeMillisPerRunning * factor);
	}

}
