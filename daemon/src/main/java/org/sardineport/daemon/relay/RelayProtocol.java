package org.sardineport.daemon.relay;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.entry.EntryAnswer;
import org.sardineport.core.relay.AnswerHead;
import org.sardineport.core.relay.CallerHead;
import org.sardineport.core.request.Refusal;

/**
 * Names and formats of what callers and backend servers send and expect. Implementations
 * translate and decide nothing.
 */
public interface RelayProtocol {

	/**
	 * Reads the head of a caller's request.
	 * @param method the HTTP method
	 * @param target path and query as sent
	 * @param headers all headers
	 * @return the head
	 * @throws MalformedRequestException if it breaks the protocol
	 */
	CallerHead readCaller(String method, String target, MultiMap headers) throws MalformedRequestException;

	/**
	 * Returns the headers of the request that a backend server gets.
	 * @param received headers as the caller sent them
	 * @param head what this program adds
	 * @return the headers without those of one connection only
	 */
	MultiMap toBackend(MultiMap received, BackendHead head);

	/**
	 * Reads the head of a backend server's answer.
	 * @param status the HTTP status
	 * @param headers all headers
	 * @return the head
	 */
	AnswerHead readAnswer(int status, MultiMap headers);

	/**
	 * Returns the headers of the answer that the caller gets.
	 * @param received headers as the backend server sent them
	 * @return the headers without those of one connection only
	 */
	MultiMap toCaller(MultiMap received);

	/**
	 * Returns the headers of an answer that this program gives itself.
	 * @param requestId identity that the caller gave the request, or {@code null}
	 * @param refusal what the caller is told
	 * @return the headers
	 */
	MultiMap ofRefusal(@Nullable String requestId, Refusal refusal);

	/**
	 * Returns the path at which readiness is asked for.
	 * @return the path
	 */
	String readinessPath();

	/**
	 * Returns the path at which callers ask where to connect.
	 * @return the path
	 */
	String entryPath();

	/**
	 * Writes the answer to a caller that asks where to connect.
	 * @param answer the answer
	 * @return the body
	 */
	Buffer writeEntry(EntryAnswer answer);

	/**
	 * Returns the type of the body written by {@link #writeEntry(EntryAnswer)}.
	 * @return the content type
	 */
	String entryContentType();

}
