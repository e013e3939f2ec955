package org.sardineport.daemon.relay;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.entry.EntryResponse;
import org.sardineport.core.relay.RequestHead;
import org.sardineport.core.relay.ResponseHead;
import org.sardineport.core.request.Refusal;

/**
 * Header names, paths and body formats that callers and backend servers use.
 * Implementations translate messages and make no decisions.
 */
public interface RelayProtocol {

	/**
	 * Reads the head of a caller's request.
	 * @param method the HTTP method
	 * @param target path and query as sent
	 * @param headers all headers
	 * @return the head
	 * @throws MalformedRequestException if it violates the protocol
	 */
	RequestHead readRequestHead(String method, String target, MultiMap headers) throws MalformedRequestException;

	/**
	 * Returns the headers of the request to a backend server.
	 * @param received headers as the caller sent them
	 * @param head values that this daemon adds
	 * @return the headers without hop-by-hop headers
	 */
	MultiMap backendRequestHeaders(MultiMap received, AddedRequestHeaders head);

	/**
	 * Reads the head of a backend server's response.
	 * @param status the HTTP status
	 * @param headers all headers
	 * @return the head
	 */
	ResponseHead readResponseHead(int status, MultiMap headers);

	/**
	 * Returns the headers of the response to the caller.
	 * @param received headers as the backend server sent them
	 * @return the headers without hop-by-hop headers
	 */
	MultiMap callerResponseHeaders(MultiMap received);

	/**
	 * Returns the headers of a refusal, which this daemon sends itself.
	 * @param requestId identity that the caller gave the request, or {@code null}
	 * @param refusal the refusal
	 * @return the headers
	 */
	MultiMap refusalHeaders(@Nullable String requestId, Refusal refusal);

	/**
	 * Returns the path of the readiness endpoint.
	 * @return the path, without a query
	 */
	String readinessPath();

	/**
	 * Returns the path of the endpoint that lists caller addresses.
	 * @return the path, without a query
	 */
	String entryPath();

	/**
	 * Writes the list of addresses to which a caller may connect.
	 * @param response the addresses, and how long they may be cached
	 * @return the response body
	 */
	Buffer writeEntryResponse(EntryResponse response);

	/**
	 * Returns the type of the body written by {@link #writeEntryResponse(EntryResponse)}.
	 * @return the content type
	 */
	String entryContentType();

}
