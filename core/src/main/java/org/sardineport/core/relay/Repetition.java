package org.sardineport.core.relay;

/**
 * Whether a request may run again after it may have run once.
 */
public enum Repetition {

	/** The request is idempotent: it may run again until its caller sees an answer. */
	FREELY {

		@Override
		public boolean mayRunAgain(boolean answerBegun) {
			return !answerBegun;
		}

	},

	/** A stream that another backend server can go on with after its last event. */
	BY_RESUMING {

		@Override
		public boolean mayRunAgain(boolean answerBegun) {
			return true;
		}

	},

	/** The request runs at most once. */
	NEVER {

		@Override
		public boolean mayRunAgain(boolean answerBegun) {
			return false;
		}

	};

	/**
	 * Returns whether the request may run again after it may have run.
	 * @param answerBegun whether the caller has received a part of the answer
	 * @return whether another run is allowed
	 */
	public abstract boolean mayRunAgain(boolean answerBegun);

}
