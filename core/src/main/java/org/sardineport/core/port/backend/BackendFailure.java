package org.sardineport.core.port.backend;

/**
 * Kind of a failed exchange with a backend server.
 */
public enum BackendFailure {

	/** No connection could be established; no byte of the request was sent. */
	NOT_CONNECTED("Choose another backend server.", true),

	/** The connection failed after bytes of the request may have been sent. */
	BROKEN("Treat the request as possibly run.", false),

	/** The response ended before its terminator. */
	TRUNCATED("Discard the partial answer.", false),

	/** This daemon cancelled the exchange. */
	CANCELLED("None needed.", false),

	/** The deadline passed before the response was complete. */
	TIMED_OUT("Treat the request as possibly run.", false),

	/** The backend server does not know the requested stream, order or operation. */
	NOT_SUPPORTED("Do without this operation on this backend server.", false),

	/** The backend server rejected an order with an outdated fencing number. */
	FENCED("Stop acting as the holder: a newer one has taken over.", false);

	private final String remedy;

	private final boolean unsent;

	BackendFailure(String remedy, boolean unsent) {
		this.remedy = remedy;
		this.unsent = unsent;
	}

	/**
	 * Returns what can be done about the failure.
	 * @return one sentence
	 */
	public String remedy() {
		return this.remedy;
	}

	/**
	 * Returns whether the request has certainly not been sent.
	 * @return {@code true} if no byte was sent
	 */
	public boolean isCertainlyUnsent() {
		return this.unsent;
	}

}
