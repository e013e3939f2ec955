package org.sardineport.daemon.exchange;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;

import org.sardineport.core.request.Refusal;

/**
 * Receives the response to one request: a head, any number of chunks and the end, or a
 * refusal. A refusal after the head aborts the response. Called on the run's executor
 * only.
 */
public interface ResponseSink {

	/**
	 * Receives the response head. Called at most once.
	 * @param status status code
	 * @param headers header fields in order
	 */
	void head(int status, List<Map.Entry<String, String>> headers);

	/**
	 * Receives a part of the body.
	 * @param bytes the bytes; the sink takes ownership of the buffer
	 * @return {@code true} if more can be written now; if {@code false}, the action given
	 * to {@link #whenDrained} runs once the reader has caught up
	 */
	boolean chunk(ByteBuffer bytes);

	/**
	 * Sets the action to run when a slow reader has caught up.
	 * @param action the action
	 */
	void whenDrained(Runnable action);

	/** Ends the response as complete. */
	void end();

	/**
	 * Refuses the request or, after the head, aborts the response.
	 * @param refusal the reason and the known outcome
	 */
	void refuse(Refusal refusal);

}
