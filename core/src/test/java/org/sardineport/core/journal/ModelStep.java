package org.sardineport.core.journal;

/**
 * One step of the simulation.
 *
 * @param kind type of the step
 * @param daemon index of the daemon that takes the step, or of the delayed record
 */
record ModelStep(Kind kind, int daemon) {

	/**
	 * Type of a step. The order of the constants is the order of preference in a run
	 * without faults.
	 */
	enum Kind {

		/** One record is read, or the end of the log is reached. */
		READ(false),

		/** An append succeeds. */
		APPEND(false),

		/** The request arrives. */
		ARRIVE(false),

		/** The handler requests permission to dispatch. */
		DISPATCH(false),

		/** The handler sends the request. */
		SEND(false),

		/** The response of the backend server is complete. */
		COMPLETE(false),

		/** A delayed record is appended to the log. */
		DELIVER_LATE(false),

		/** The daemon takes over the requests of suspected daemons. */
		TAKE_OVER(false),

		/** The handler releases the request. */
		RELEASE(false),

		/**
		 * The clock advances to when the journal releases undecided claims, then past the
		 * deadline.
		 */
		ADVANCE_CLOCK(false),

		/** An append takes effect but its response is lost. */
		APPEND_RESPONSE_LOST(true),

		/** An append is lost. */
		APPEND_LOST(true),

		/** An append seems lost but takes effect later. */
		APPEND_LATE(true),

		/** The log refuses an append. */
		APPEND_REFUSED(true),

		/** The process crashes. */
		CRASH(true),

		/** The other daemon suspects this one, which may only be paused. */
		SUSPECT(true);

		private final boolean fault;

		Kind(boolean fault) {
			this.fault = fault;
		}

		boolean isFault() {
			return this.fault;
		}

	}

}
