package org.sardineport.core.exchange;

/**
 * Whether a response that has ended may be passed on as complete.
 */
public enum Completeness {

	/** The response is complete. */
	COMPLETE,

	/**
	 * A sound process has ended the event stream where it may end, without stating that.
	 * Where another backend server can continue the stream, it knows whether more
	 * follows; otherwise the stream counts as complete.
	 */
	UNCONFIRMED,

	/** The response is not complete, or nothing shows that it is. */
	INCOMPLETE

}
