package org.sardineport.daemon.relay;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import org.sardineport.core.relay.AnswerHead;
import org.sardineport.core.relay.AttemptEnd;

/**
 * Hears of one attempt, on the event loop. An attempt ends with {@link #whole},
 * {@link #complete} or {@link #ended}.
 */
interface AttemptListener {

	/**
	 * The whole answer came.
	 * @param head its head
	 * @param headers its headers
	 * @param body its body
	 */
	void whole(AnswerHead head, MultiMap headers, Buffer body);

	/**
	 * An answer begins that is passed on in parts.
	 * @param head its head
	 * @param headers its headers
	 */
	void begin(AnswerHead head, MultiMap headers);

	/**
	 * A part of an answer that is passed on came: whole events of a stream.
	 * @param bytes the part
	 */
	void part(Buffer bytes);

	/**
	 * An answer that was passed on in parts is complete.
	 */
	void complete();

	/**
	 * The attempt ended without an answer, or in the middle of one.
	 * @param end how
	 * @param detail what was seen
	 */
	void ended(AttemptEnd end, String detail);

}
