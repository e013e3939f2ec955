package org.sardineport.core.port.log;

/**
 * Kind of a failed call to the log service.
 */
public enum LogFailure {

	/** The service refused or could not be reached; an append did not take effect. */
	UNAVAILABLE("Wait for the log service to come back.", true),

	/** No answer came; an append may have taken effect. */
	UNKNOWN("Read the stream to learn whether the append took effect.", false),

	/** The offset asked for is older than what the service keeps. */
	OFFSET_EXPIRED("Read from the first offset that is kept, after loading a snapshot.", true),

	/** The record is larger than the service takes. */
	RECORD_TOO_LARGE("Split the record.", true);

	private final String remedy;

	private final boolean certain;

	LogFailure(String remedy, boolean certain) {
		this.remedy = remedy;
		this.certain = certain;
	}

	/**
	 * Returns what can be done about it.
	 * @return one sentence
	 */
	public String remedy() {
		return this.remedy;
	}

	/**
	 * Returns whether an append that failed so is certain not to have taken effect.
	 * @return whether it is certain
	 */
	public boolean isCertainlyNotApplied() {
		return this.certain;
	}

}
