package org.sardineport.daemon.relay;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;

/**
 * Hears of one call to a backend server, on the event loop. Nothing is called after
 * {@link #notConnected}, {@link #end} or {@link #broken}.
 */
interface BackendCallListener {

	/**
	 * No byte was sent.
	 * @param cause why
	 */
	void notConnected(String cause);

	/**
	 * The head of the answer came.
	 * @param status the HTTP status
	 * @param headers its headers
	 */
	void head(int status, MultiMap headers);

	/**
	 * A part of the answer's body came.
	 * @param bytes the part
	 */
	void data(Buffer bytes);

	/**
	 * The answer is complete.
	 */
	void end();

	/**
	 * The connection broke, or what came is no answer in the protocol.
	 * @param cause why
	 */
	void broken(String cause);

}
