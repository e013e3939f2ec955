package org.sardineport.core.request;

import java.util.Locale;

/**
 * Why a request was tried again inside the system. All retries happen before dispatch.
 */
public enum RetryReason {

	/** The connection to the backend server could not be made. */
	CONNECT_FAILED,

	/** The permit lapsed before it was used. */
	PERMIT_LAPSED,

	/** The owner of the backend server did not answer. */
	OWNER_SILENT,

	/** The daemon asked is not the owner. */
	NOT_OWNER,

	/** The owner has no room for the request. */
	OWNER_FULL,

	/** The backend server began to leave. */
	BACKEND_LEAVING,

	/** An answer of the log service was lost and is settled by reading. */
	LOG_ANSWER_LOST,

	/** The log service was unavailable. */
	LOG_UNAVAILABLE;

	/**
	 * Returns the name in metrics and logs.
	 * @return the name in lower case with dashes
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
