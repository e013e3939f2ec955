package org.sardineport.core.journal;

/**
 * One step of the model.
 *
 * @param kind what happens
 * @param daemon number of the daemon to which it happens, or of the late record
 */
record ModelStep(Kind kind, int daemon) {

	/**
	 * What can happen, in the order in which an ordinary run prefers it.
	 */
	enum Kind {

		/** One record is read, or the end is found. */
		READ(false),

		/** An append goes well. */
		APPEND(false),

		/** The request arrives. */
		ARRIVE(false),

		/** The handler asks for leave to dispatch. */
		DISPATCH(false),

		/** The handler sends the request. */
		SEND(false),

		/** The backend server's answer is whole. */
		COMPLETE(false),

		/** A late record gets to the log. */
		DELIVER_LATE(false),

		/** Sees to what those taken to be dead left behind. */
		TAKE_OVER(false),

		/** The handler gives the request up. */
		RELEASE(false),

		/** Time passes to where the journal starts to settle, then past the deadline. */
		ADVANCE_CLOCK(false),

		/** An append takes effect and its answer is lost. */
		APPEND_RESPONSE_LOST(true),

		/** An append is lost. */
		APPEND_LOST(true),

		/** An append seems lost and takes effect later. */
		APPEND_LATE(true),

		/** The log refuses an append. */
		APPEND_REFUSED(true),

		/** The process dies. */
		CRASH(true),

		/** The others take the daemon to be dead, though it may only be paused. */
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
