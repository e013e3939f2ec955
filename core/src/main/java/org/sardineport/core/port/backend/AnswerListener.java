package org.sardineport.core.port.backend;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;

/**
 * Hears the answer of a backend server: one head, any number of chunks, then exactly one
 * of end or failure. A failure may come at any point, also before the head. All calls of
 * one exchange come on one thread.
 */
public interface AnswerListener {

	/**
	 * The head of the answer has come.
	 * @param status status code
	 * @param headers header fields in order, hop-by-hop fields left out
	 */
	void head(int status, List<Map.Entry<String, String>> headers);

	/**
	 * Part of the body has come.
	 * @param bytes the bytes, valid during the call only
	 */
	void chunk(ByteBuffer bytes);

	/**
	 * The answer is whole: its end mark has come.
	 */
	void end();

	/**
	 * The answer will not be whole.
	 * @param failure why
	 */
	void failed(BackendException failure);

}
