package org.sardineport.daemon.exchange;

import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.journal.IdempotencyKey;
import org.sardineport.core.port.backend.BackendRequest;

/**
 * An admitted request, ready to be run.
 *
 * @param scheduling the scheduling parameters
 * @param method HTTP method
 * @param pathAndQuery path with query
 * @param headers header fields to send, in order
 * @param body the body; the array is not copied and must not be changed
 * @param key the idempotency key, or {@code null} if the request bypasses the journal
 * @param durable whether the request must survive a failure of this daemon
 */
public record RunRequest(SchedulingRequest scheduling, String method, String pathAndQuery,
		List<Map.Entry<String, String>> headers, byte[] body, @Nullable IdempotencyKey key, boolean durable) {

	/**
	 * Creates the request with a copy of the headers.
	 */
	public RunRequest {
		Objects.requireNonNull(scheduling, "scheduling must not be null");
		Objects.requireNonNull(method, "method must not be null");
		Objects.requireNonNull(pathAndQuery, "pathAndQuery must not be null");
		headers = List.copyOf(headers);
		Objects.requireNonNull(body, "body must not be null");
	}

	/**
	 * Returns the request to send to a backend server, with the deadline as its timeout.
	 * @return the request, which shares the body
	 */
	BackendRequest backendRequest() {
		return new BackendRequest(this.scheduling.id().value(), this.method, this.pathAndQuery, this.headers, this.body,
				this.scheduling.deadline());
	}

}
