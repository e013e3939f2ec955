package org.sardineport.core.port.log;

/**
 * Kind of a failed call to the log service.
 */
public enum LogFailure {

	/** The service refused or could not be reached; an append did not take effect. */
	UNAVAILABLE("Wait for the log service to come back.", true),

	/** No reply was received; an append may have taken effect. */
	UNKNOWN("Read the stream to learn whether the append took effect.", false),

	/** The requested offset is older than the first retained record. */
	OFFSET_EXPIRED("Read from the first offset that is kept, after loading a snapshot.", true),

	/** The record exceeds the size limit of the service. */
	RECORD_TOO_LARGE("Split the record.", true);

	private final String remedy;

	private final boolean notApplied;

	LogFailure(String remedy, boolean notApplied) {
		this.remedy = remedy;
		this.notApplied = notApplied;
	}

	/**
	 * Returns what can be done about the failure.
	 * @return one sentence
	 */
	public String remedy() {
		return this.remedy;
	}

	/**
	 * Returns whether an append with this failure has certainly not taken effect.
	 * @return {@code false} if the append may have taken effect
	 */
	public boolean isCertainlyNotApplied() {
		return this.notApplied;
	}

}
