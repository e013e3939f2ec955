package org.sardineport.core.request;

/**
 * What is known about the execution of a request that did not get a regular response.
 */
public enum Outcome {

	/**
	 * The request has not run and will not run: no backend server has or will get a byte
	 * of it.
	 */
	NOT_RUN("not-run"),

	/** The request may have run, completely or in part. */
	UNKNOWN("unknown"),

	/** The request ran to completion. */
	COMPLETED("completed");

	private final String label;

	Outcome(String label) {
		this.label = label;
	}

	/**
	 * Returns the name sent to callers.
	 * @return the label, in lower case with dashes
	 */
	public String label() {
		return this.label;
	}

}
