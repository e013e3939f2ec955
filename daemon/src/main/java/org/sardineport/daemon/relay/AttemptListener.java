package org.sardineport.daemon.relay;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import org.sardineport.core.relay.AttemptEnd;
import org.sardineport.core.relay.ResponseHead;

/**
 * Receives the results of attempts, on the event loop. An attempt that is not aborted
 * ends with {@link #responseReceived}, {@link #responseCompleted} or {@link #failed}.
 */
interface AttemptListener {

	/**
	 * Called with a response that was received completely before any of it was passed on.
	 * @param attempt the attempt
	 * @param head its head
	 * @param headers its headers
	 * @param body its whole body
	 */
	void responseReceived(Attempt attempt, ResponseHead head, MultiMap headers, Buffer body);

	/**
	 * Called once when the first whole event of an event stream has arrived that the
	 * caller has not received yet, before any of it is passed on.
	 * @param attempt the attempt
	 */
	void firstEventReceived(Attempt attempt);

	/**
	 * Called with the first whole events of an event stream, before any of it is passed
	 * on. Not called for other responses.
	 * @param attempt the attempt
	 * @return whether to pass the events on now; otherwise the attempt holds them and
	 * reads no more until {@link Attempt#forwardHeldEvents()} or {@link Attempt#abort()}
	 */
	boolean mayForward(Attempt attempt);

	/**
	 * Called when a response begins that is passed on in parts.
	 * @param attempt the attempt
	 * @param head its head
	 * @param headers its headers
	 */
	void responseStarted(Attempt attempt, ResponseHead head, MultiMap headers);

	/**
	 * Called with each part of a response that is passed on in parts. Parts of an event
	 * stream hold whole events.
	 * @param attempt the attempt
	 * @param bytes the part
	 */
	void dataReceived(Attempt attempt, Buffer bytes);

	/**
	 * Called when a response that was passed on in parts is complete.
	 * @param attempt the attempt
	 */
	void responseCompleted(Attempt attempt);

	/**
	 * Called once when the first bytes of an event stream arrive, which need not hold a
	 * whole event.
	 * @param attempt the attempt
	 */
	void streamStarted(Attempt attempt);

	/**
	 * Called when the backend server has sent nothing for the timeout of the plan, and
	 * again after each further gap timeout. The attempt goes on.
	 * @param attempt the attempt
	 */
	void silent(Attempt attempt);

	/**
	 * Called when the attempt ends without a response, or before the response is
	 * complete.
	 * @param attempt the attempt
	 * @param end how the attempt ended
	 * @param detail what was observed, for logs and refusals
	 */
	void failed(Attempt attempt, AttemptEnd end, String detail);

}
