package org.sardineport.core.relay;

/**
 * Whether a request may run again after it may already have run.
 */
public enum RerunPolicy {

	/**
	 * The request is idempotent and may run again until its caller receives part of a
	 * response.
	 */
	UNTIL_RESPONSE {

		@Override
		public boolean allowsRerun(boolean responseStarted) {
			return !responseStarted;
		}

	},

	/**
	 * The request is a stream that another backend server can resume after its last
	 * event.
	 */
	BY_RESUMING {

		@Override
		public boolean allowsRerun(boolean responseStarted) {
			return true;
		}

	},

	/** The request runs at most once. */
	NEVER {

		@Override
		public boolean allowsRerun(boolean responseStarted) {
			return false;
		}

	};

	/**
	 * Returns whether a request that may already have run may run again.
	 * @param responseStarted whether the caller has received part of the response
	 * @return {@code true} if another run is allowed
	 */
	public abstract boolean allowsRerun(boolean responseStarted);

}
