package org.sardineport.core.relay;

import java.util.Locale;

import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.request.RetryReason;

/**
 * How an attempt at one backend server ended without an answer for the caller.
 */
public enum AttemptEnd {

	/** No connection could be made. */
	NOT_CONNECTED(false, RunEnd.NOT_CONNECTED, RetryReason.CONNECT_FAILED),

	/** The backend server says that it did not run the request. */
	NOT_EXECUTED(false, RunEnd.UNUSED, RetryReason.BACKEND_FULL),

	/** The backend server ran the request and answered with a failure. */
	FAILED(true, RunEnd.REJECTED, RetryReason.BACKEND_FAILED),

	/** The connection broke before the answer was complete. */
	BROKEN(true, RunEnd.BROKEN, RetryReason.BACKEND_FAILED),

	/** What came is not an answer to this request. */
	INVALID(true, RunEnd.REJECTED, RetryReason.BACKEND_FAILED),

	/** Nothing came for too long. */
	SILENT(true, RunEnd.TIMED_OUT, RetryReason.BACKEND_SILENT);

	private final boolean mayHaveRun;

	private final RunEnd runEnd;

	private final RetryReason retryReason;

	AttemptEnd(boolean mayHaveRun, RunEnd runEnd, RetryReason retryReason) {
		this.mayHaveRun = mayHaveRun;
		this.runEnd = runEnd;
		this.retryReason = retryReason;
	}

	/**
	 * Returns whether the request may have begun to run.
	 * @return whether it is not known that it did not
	 */
	public boolean mayHaveRun() {
		return this.mayHaveRun;
	}

	/**
	 * Returns what scheduling learns from it.
	 * @return the end of the permit's use
	 */
	public RunEnd runEnd() {
		return this.runEnd;
	}

	/**
	 * Returns the reason under which a further attempt is counted.
	 * @return the reason
	 */
	public RetryReason retryReason() {
		return this.retryReason;
	}

	/**
	 * Returns the name in logs.
	 * @return the name in lower case with dashes
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
