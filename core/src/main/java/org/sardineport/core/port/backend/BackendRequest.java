package org.sardineport.core.port.backend;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * A request as it is sent to a backend server.
 *
 * @param streamId identity of the request and of its event stream on the engine
 * @param method HTTP method
 * @param pathAndQuery path with query
 * @param headers header fields in order
 * @param body the body; the array is not copied and must not be changed
 * @param deadline time by which the complete response must have been received
 */
public record BackendRequest(String streamId, String method, String pathAndQuery,
		List<Map.Entry<String, String>> headers, byte[] body, Instant deadline) {

	/**
	 * Creates the request; the header fields are copied.
	 */
	public BackendRequest {
		Objects.requireNonNull(streamId, "streamId must not be null");
		Objects.requireNonNull(method, "method must not be null");
		Objects.requireNonNull(pathAndQuery, "pathAndQuery must not be null");
		headers = List.copyOf(headers);
		Objects.requireNonNull(body, "body must not be null");
		Objects.requireNonNull(deadline, "deadline must not be null");
	}

}
