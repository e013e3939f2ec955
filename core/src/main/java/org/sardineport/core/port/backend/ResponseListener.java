package org.sardineport.core.port.backend;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;

/**
 * Receives the response of a backend server: one head, any number of chunks, then exactly
 * one of end or failure. A failure may occur at any point, also before the head. All
 * methods are called on a single thread for each exchange.
 */
public interface ResponseListener {

	/**
	 * Called when the head of the response has been received.
	 * @param status status code
	 * @param headers header fields in order, without hop-by-hop fields
	 */
	void head(int status, List<Map.Entry<String, String>> headers);

	/**
	 * Called when part of the body has been received.
	 * @param bytes the bytes; valid only during the call
	 */
	void chunk(ByteBuffer bytes);

	/**
	 * Called when the response is complete, including its terminator.
	 */
	void end();

	/**
	 * Called when the exchange failed and the response will not be completed.
	 * @param failure the cause
	 */
	void failed(BackendException failure);

}
