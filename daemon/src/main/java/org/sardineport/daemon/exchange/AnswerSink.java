package org.sardineport.daemon.exchange;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;

import org.sardineport.core.request.Refusal;

/**
 * Takes the answer to one request: a head, any number of chunks and the end; or a
 * refusal, which may also come after the head and then breaks the answer off. Called on
 * the run's executor only.
 */
public interface AnswerSink {

	/**
	 * Takes the head of an answer.
	 * @param status status code
	 * @param headers header fields in order
	 */
	void head(int status, List<Map.Entry<String, String>> headers);

	/**
	 * Takes a part of the body.
	 * @param bytes the bytes, which are the sink's from now on
	 * @return whether the reader keeps up; otherwise the action given to
	 * {@link #whenDrained} is run as soon as it does
	 */
	boolean chunk(ByteBuffer bytes);

	/**
	 * Sets what to do when a reader that was behind has caught up.
	 * @param action the action
	 */
	void whenDrained(Runnable action);

	/** Takes the end: the answer is whole. */
	void end();

	/**
	 * Takes a refusal: there will be no whole answer.
	 * @param refusal what is known
	 */
	void refuse(Refusal refusal);

}
