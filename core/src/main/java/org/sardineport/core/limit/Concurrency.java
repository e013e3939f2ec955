package org.sardineport.core.limit;

/**
 * How many requests a backend server is given at once.
 */
public enum Concurrency {

	/** As many as finish in the time expected, with headroom for the top tier. */
	LEARNED {

		@Override
		public AdaptiveLimit limitOf(int nominal) {
			return AdaptiveLimit.of(nominal);
		}

	},

	/** As many as it is said to run at once: its engine admits no more than these. */
	NOMINAL {

		@Override
		public AdaptiveLimit limitOf(int nominal) {
			return AdaptiveLimit.fixed(nominal);
		}

	};

	/**
	 * Returns the limit of one backend server.
	 * @param nominal requests that it is meant to run at once, at least 1
	 * @return the limit
	 */
	public abstract AdaptiveLimit limitOf(int nominal);

}
