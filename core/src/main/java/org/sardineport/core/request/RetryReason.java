package org.sardineport.core.request;

import java.util.Locale;

/**
 * Why a request was retried inside the system. A request that may run only once is
 * retried only before dispatch, or after the backend server stated that it did not run
 * the request.
 */
public enum RetryReason {

	/** No connection to the backend server could be established. */
	CONNECT_FAILED,

	/** The permit expired before it was used. */
	PERMIT_LAPSED,

	/** The owner daemon of the backend server did not reply. */
	OWNER_SILENT,

	/** The daemon that was asked for a permit does not own the backend server. */
	NOT_OWNER,

	/** The owner daemon has no capacity for the request. */
	OWNER_FULL,

	/** The backend server is leaving the fleet. */
	BACKEND_LEAVING,

	/** The backend server rejected the request without running it. */
	BACKEND_FULL,

	/** The backend server failed; the request may run again. */
	BACKEND_FAILED,

	/**
	 * The backend server ended a stream without stating its end; another one may continue
	 * it.
	 */
	END_UNCONFIRMED,

	/** The backend server became unresponsive; the request may run again. */
	BACKEND_SILENT,

	/**
	 * A reply of the log service was lost; the result of the append is determined by
	 * reading the stream.
	 */
	LOG_ANSWER_LOST,

	/** The log service was unavailable. */
	LOG_UNAVAILABLE;

	/**
	 * Returns the name used in metrics and logs.
	 * @return the name in lower case with dashes
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
