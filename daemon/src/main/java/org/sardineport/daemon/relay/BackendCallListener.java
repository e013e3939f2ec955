package org.sardineport.daemon.relay;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;

/**
 * Receives the results of one call to a backend server, on the event loop. No method is
 * called after {@link #notConnected}, {@link #responseCompleted},
 * {@link #connectionBroke} or {@link #responseMalformed}.
 */
interface BackendCallListener {

	/**
	 * Called when a connection is open, before {@link #maySend()}.
	 * @param send must be run, at once or later, to send the request
	 */
	default void connected(Runnable send) {
		send.run();
	}

	/**
	 * Called when a connection is open.
	 * @return whether the request may still be sent; if not, {@link #notConnected}
	 * follows
	 */
	boolean maySend();

	/**
	 * Called if no connection could be used. No byte of the request was sent.
	 * @param cause the cause, for logs and refusals
	 */
	void notConnected(String cause);

	/**
	 * Called when the head of the response is received.
	 * @param status the HTTP status
	 * @param headers its headers
	 */
	void headReceived(int status, MultiMap headers);

	/**
	 * Called with each part of the response body.
	 * @param bytes the part
	 */
	void dataReceived(Buffer bytes);

	/**
	 * Called when the response is complete.
	 */
	void responseCompleted();

	/**
	 * Called if the connection breaks before the response is complete.
	 * @param cause the cause, for logs and refusals
	 */
	void connectionBroke(String cause);

	/**
	 * Called if the response is not valid HTTP.
	 * @param cause the cause, for logs and refusals
	 */
	void responseMalformed(String cause);

}
