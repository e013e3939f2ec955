package org.sardineport.cli;

/**
 * Exit codes of the command line, for scripts.
 */
public enum ExitCode {

	/** All was done. */
	OK(0),

	/** Something failed that no other code stands for. */
	FAILED(1),

	/** The command line is wrong, or a file cannot be read. */
	USAGE(2),

	/** A document has faults; nothing was published. */
	INVALID(3),

	/** Others changed a profile first; nothing was published. */
	CONFLICT(4),

	/** There are warnings that were not accepted; nothing was published. */
	WARNINGS(5),

	/** The log service or a daemon could not be reached; nothing was published. */
	UNAVAILABLE(6),

	/** It cannot be told whether the publication is or will be in force. */
	UNKNOWN(7),

	/** The publication is accepted, but not all live daemons have reported it in time. */
	NOT_EVERYWHERE(8),

	/** There are differences. */
	DIFFERENT(9);

	private final int code;

	ExitCode(int code) {
		this.code = code;
	}

	/**
	 * Returns the number that the process exits with.
	 * @return the number
	 */
	public int code() {
		return this.code;
	}

}
