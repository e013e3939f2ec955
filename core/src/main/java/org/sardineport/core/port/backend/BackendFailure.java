package org.sardineport.core.port.backend;

/**
 * Kind of a failed exchange with a backend server.
 */
public enum BackendFailure {

	/** No connection was made; no byte of the request was sent. */
	NOT_CONNECTED("Choose another backend server.", true),

	/** The connection broke after bytes of the request may have been sent. */
	BROKEN("Treat the request as possibly run.", false),

	/** The answer ended before its end mark. */
	TRUNCATED("Discard the partial answer.", false),

	/** The exchange was cancelled from this side. */
	CANCELLED("None needed.", false),

	/** The deadline passed. */
	TIMED_OUT("Treat the request as possibly run.", false),

	/** The backend server does not know the stream, order or operation asked for. */
	NOT_SUPPORTED("Do without this operation on this backend server.", false),

	/** The backend server refused an order that carried an old fencing number. */
	FENCED("Stop acting as the holder: a newer one has taken over.", false);

	private final String remedy;

	private final boolean unsent;

	BackendFailure(String remedy, boolean unsent) {
		this.remedy = remedy;
		this.unsent = unsent;
	}

	/**
	 * Returns what can be done about it.
	 * @return one sentence
	 */
	public String remedy() {
		return this.remedy;
	}

	/**
	 * Returns whether the request is certain not to have been sent.
	 * @return whether no byte was sent
	 */
	public boolean isCertainlyUnsent() {
		return this.unsent;
	}

}
