package org.sardineport.core.relay;

import java.util.Locale;

import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.request.RetryReason;

/**
 * How an attempt at one backend server ended without a response for the caller.
 */
public enum AttemptEnd {

	/** The connection could not be established. */
	NOT_CONNECTED(false, RunEnd.NOT_CONNECTED, RetryReason.CONNECT_FAILED),

	/** The backend server states that it did not run the request. */
	NOT_EXECUTED(false, RunEnd.NOT_ADMITTED, RetryReason.BACKEND_FULL),

	/** The backend server ran the request and returned an error. */
	FAILED(true, RunEnd.REJECTED, RetryReason.BACKEND_FAILED),

	/** The connection failed before the response was complete. */
	BROKEN(true, RunEnd.BROKEN, RetryReason.BACKEND_FAILED),

	/**
	 * The backend server closed a response that this daemon had not read for some time,
	 * as its caller reads slowly.
	 */
	CLOSED_UNREAD(true, RunEnd.CANCELLED, RetryReason.BACKEND_FAILED),

	/** The response is invalid or does not belong to this request. */
	INVALID(true, RunEnd.REJECTED, RetryReason.BACKEND_FAILED),

	/**
	 * The stream ended where it may be whole, but the backend server did not state that.
	 */
	UNCONFIRMED(true, RunEnd.COMPLETED, RetryReason.END_UNCONFIRMED),

	/**
	 * The backend server, which goes on, had no event to continue the stream with, and
	 * did not state that.
	 */
	NOTHING_MORE(true, RunEnd.COMPLETED, RetryReason.END_UNCONFIRMED),

	/** The backend server sent nothing within the timeout. */
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
	 * Returns whether the request may have started to run.
	 * @return {@code false} only if the request is known not to have run
	 */
	public boolean mayHaveRun() {
		return this.mayHaveRun;
	}

	/**
	 * Returns the result that is reported to the scheduler.
	 * @return how the use of the permit ended
	 */
	public RunEnd runEnd() {
		return this.runEnd;
	}

	/**
	 * Returns the reason recorded in metrics if the request is tried again.
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
