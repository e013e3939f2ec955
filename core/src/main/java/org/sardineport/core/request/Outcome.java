package org.sardineport.core.request;

/**
 * What is known of a request that did not get an ordinary answer.
 */
public enum Outcome {

	/** No byte of the request reached a backend server, and none will. */
	NOT_RUN("not-run"),

	/** The request may have run, wholly or in part. */
	UNKNOWN("unknown"),

	/** The request ran to its end. */
	COMPLETED("completed");

	private final String label;

	Outcome(String label) {
		this.label = label;
	}

	/**
	 * Returns the name that callers see.
	 * @return the label
	 */
	public String label() {
		return this.label;
	}

}
