package org.sardineport.daemon.relay;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import org.sardineport.core.relay.AttemptEnd;
import org.sardineport.core.relay.ResponseHead;
import org.sardineport.core.request.Refusal;

/**
 * Receives the results of all attempts at one request, on the event loop. They end with
 * {@link #responseReceived}, {@link #responseCompleted}, {@link #attemptsExhausted} or
 * {@link #permitRefused}.
 */
interface RelayAttemptsListener {

	/**
	 * Called with a response that was received completely before any of it was passed on.
	 * @param head its head
	 * @param headers its headers
	 * @param body its whole body
	 */
	void responseReceived(ResponseHead head, MultiMap headers, Buffer body);

	/**
	 * Called with an error response, which ends one attempt. Others may follow.
	 * @param head its head
	 * @param headers its headers
	 * @param body its whole body
	 */
	void errorReceived(ResponseHead head, MultiMap headers, Buffer body);

	/**
	 * Called when a response begins that is passed on in parts, and again when another
	 * attempt continues it.
	 * @param head its head
	 * @param headers its headers
	 */
	void responseStarted(ResponseHead head, MultiMap headers);

	/**
	 * Called with each part of a response that is passed on in parts.
	 * @param attempt the attempt that received it, to be paused if parts arrive too fast
	 * @param bytes the part
	 */
	void dataReceived(Attempt attempt, Buffer bytes);

	/**
	 * Called when a response that was passed on in parts is complete.
	 */
	void responseCompleted();

	/**
	 * Called when the last attempt has ended and no other one may be made.
	 * @param end how it ended
	 * @param detail what was observed, for logs and refusals
	 */
	void attemptsExhausted(AttemptEnd end, String detail);

	/**
	 * Called when there is no permit for an attempt and none goes on.
	 * @param refusal the reason
	 */
	void permitRefused(Refusal refusal);

}
