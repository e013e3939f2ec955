package org.sardineport.core.request;

import java.util.Locale;

/**
 * Why a request was tried again inside the system. A request that may not run twice is
 * only tried again before dispatch, or after the backend server's word that it did not
 * run.
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

	/** The backend server sent the request back without running it. */
	BACKEND_FULL,

	/** The backend server failed; the request may run again. */
	BACKEND_FAILED,

	/** The backend server fell silent; the request may run again. */
	BACKEND_SILENT,

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
