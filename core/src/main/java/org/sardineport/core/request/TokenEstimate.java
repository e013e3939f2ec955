package org.sardineport.core.request;

/**
 * Estimated size of a request in tokens, made before it runs.
 *
 * @param prompt estimated tokens of the prompt; 0 for plain services
 * @param answer estimated tokens of the response; 0 for plain services
 */
public record TokenEstimate(int prompt, int answer) {

	/** Maximum total, so that what is added to it does not overflow. */
	public static final int MAX_TOTAL = Integer.MAX_VALUE / 2;

	/** Estimate for a request to a plain service. */
	public static final TokenEstimate NONE = new TokenEstimate(0, 0);

	/**
	 * Creates the estimate; both counts may be zero.
	 * @throws IllegalArgumentException if a count is negative
	 */
	public TokenEstimate {
		if (prompt < 0 || answer < 0) {
			throw new IllegalArgumentException(
					"token counts must not be negative, found %d and %d".formatted(prompt, answer));
		}
	}

	/**
	 * Returns an estimate with the given counts.
	 * @param prompt tokens of the prompt
	 * @param answer tokens of the response
	 * @return the estimate
	 */
	public static TokenEstimate of(int prompt, int answer) {
		return new TokenEstimate(prompt, answer);
	}

	/**
	 * Returns the tokens of prompt and response together.
	 * @return the sum, at most {@link #MAX_TOTAL}
	 */
	public int total() {
		return (int) Math.min((long) this.prompt + this.answer, MAX_TOTAL);
	}

}
