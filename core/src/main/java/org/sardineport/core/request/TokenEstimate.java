package org.sardineport.core.request;

/**
 * Size of a request in tokens, as far as it can be known before it runs.
 *
 * @param prompt tokens of the prompt; 0 for plain services
 * @param answer tokens expected in the answer; 0 for plain services
 */
public record TokenEstimate(int prompt, int answer) {

	/** Estimate of a call to a plain service. */
	public static final TokenEstimate NONE = new TokenEstimate(0, 0);

	/**
	 * Creates the estimate.
	 * @throws IllegalArgumentException if a count is negative
	 */
	public TokenEstimate {
		if (prompt < 0 || answer < 0) {
			throw new IllegalArgumentException(
					"token counts must not be negative, found %d and %d".formatted(prompt, answer));
		}
	}

	/**
	 * Returns the estimate of the given counts.
	 * @param prompt tokens of the prompt
	 * @param answer tokens of the answer
	 * @return the estimate
	 */
	public static TokenEstimate of(int prompt, int answer) {
		return new TokenEstimate(prompt, answer);
	}

	/**
	 * Returns prompt and answer together.
	 * @return the sum in tokens
	 */
	public int total() {
		return this.prompt + this.answer;
	}

}
