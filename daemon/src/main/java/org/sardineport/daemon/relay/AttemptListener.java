package org.sardineport.daemon.relay;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import org.sardineport.core.relay.AttemptEnd;
import org.sardineport.core.relay.ResponseHead;

/**
 * Receives the results of one attempt, on the event loop. An attempt that is not aborted
 * ends with {@link #responseReceived}, {@link #responseCompleted} or {@link #failed}.
 */
interface AttemptListener {

	/**
	 * Called with a response that was received completely before any of it was passed on.
	 * @param head its head
	 * @param headers its headers
	 * @param body its whole body
	 */
	void responseReceived(ResponseHead head, MultiMap headers, Buffer body);

	/**
	 * Called when a response begins that is passed on in parts.
	 * @param head its head
	 * @param headers its headers
	 */
	void responseStarted(ResponseHead head, MultiMap headers);

	/**
	 * Called with each part of a response that is passed on in parts. Parts of an event
	 * stream hold whole events.
	 * @param bytes the part
	 */
	void dataReceived(Buffer bytes);

	/**
	 * Called when a response that was passed on in parts is complete.
	 */
	void responseCompleted();

	/**
	 * Called when the attempt ends without a response, or before the response is
	 * complete.
	 * @param end how the attempt ended
	 * @param detail what was observed, for logs and refusals
	 */
	void failed(AttemptEnd end, String detail);

}
