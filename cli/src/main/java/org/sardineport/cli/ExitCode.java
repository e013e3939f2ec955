package org.sardineport.cli;

/**
 * Exit codes of the command line. Scripts rely on the numbers, so they must not change.
 */
public enum ExitCode {

	/** The command succeeded. */
	OK(0),

	/** The command failed for a reason without a code of its own. */
	FAILED(1),

	/** The command line is invalid, or a file cannot be read. */
	USAGE(2),

	/** A document has faults; nothing was published. */
	INVALID(3),

	/** A profile has been changed since the base version; nothing was published. */
	CONFLICT(4),

	/** There are warnings that were not accepted; nothing was published. */
	WARNINGS(5),

	/** The log service or a daemon could not be reached; nothing was published. */
	UNAVAILABLE(6),

	/** The outcome is unknown: the publication may be or come into force. */
	UNKNOWN(7),

	/**
	 * The publication is accepted, but not reported by all live daemons within the wait.
	 */
	NOT_EVERYWHERE(8),

	/** The files differ from the profiles in force. */
	DIFFERENT(9);

	private final int code;

	ExitCode(int code) {
		this.code = code;
	}

	/**
	 * Returns the exit status of the process.
	 * @return the status, from 0 to 9
	 */
	public int code() {
		return this.code;
	}

}
