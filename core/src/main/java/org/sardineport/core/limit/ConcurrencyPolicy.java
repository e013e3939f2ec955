package org.sardineport.core.limit;

/**
 * Determines how the concurrency limit of a backend server is set.
 */
public enum ConcurrencyPolicy {

	/** Adapts the limit to measured durations, with headroom for the top tier. */
	ADAPTIVE {

		@Override
		public AdaptiveLimit limitOf(int nominal) {
			return AdaptiveLimit.of(nominal);
		}

	},

	/**
	 * Uses the nominal concurrency for every tier, as the engine itself admits no more
	 * requests.
	 */
	NOMINAL {

		@Override
		public AdaptiveLimit limitOf(int nominal) {
			return AdaptiveLimit.fixed(nominal);
		}

	};

	/**
	 * Creates the limit of one backend server.
	 * @param nominal number of requests that the backend server is configured to run
	 * concurrently, at least 1
	 * @return the limit
	 */
	public abstract AdaptiveLimit limitOf(int nominal);

}
