package org.sardineport.core.rollout;

/**
 * Why a version is taken for faulty.
 *
 * @param route route on which it shows, or {@code *} for all of them together
 * @param sign what shows it
 * @param events number of responses with that sign
 * @param samples number of responses that were compared
 * @param evidence evidence of the test, as the logarithm of a likelihood ratio
 */
public record Suspicion(String route, Sign sign, int events, int samples, double evidence) {

	/**
	 * Signs of a faulty version.
	 */
	public enum Sign {

		/** Responses are errors. */
		ERRORS,

		/** The first data comes late. */
		SLOW_START,

		/** Tokens come slowly. */
		SLOW_TOKENS;

		/**
		 * Returns the name in logs.
		 * @return the name in lower case with dashes
		 */
		public String label() {
			return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
		}

	}

}
