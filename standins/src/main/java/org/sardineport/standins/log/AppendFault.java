package org.sardineport.standins.log;

/**
 * What goes wrong with one append.
 */
public enum AppendFault {

	/** The record is taken, and the answer is lost. */
	RESPONSE_LOST_AFTER_EFFECT(true),

	/** The request is lost on its way: no record and no answer. */
	LOST_BEFORE_EFFECT(false),

	/** No answer; the record is taken when the test lets it. */
	LATE_EFFECT(false),

	/** The service refuses; no record. */
	REFUSED(false);

	private final boolean applied;

	AppendFault(boolean applied) {
		this.applied = applied;
	}

	/**
	 * Returns whether the record is in the stream when the call fails.
	 * @return whether it was taken at once
	 */
	public boolean isApplied() {
		return this.applied;
	}

}
