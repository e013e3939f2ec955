package org.sardineport.core.journal;

import java.time.Instant;
import java.util.Map;
import java.util.Objects;

import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.request.Fingerprint;

/**
 * Request recorded in the journal. Contains everything needed to run it on another daemon
 * if this one fails.
 *
 * @param key its key
 * @param fingerprint hash of organisation, method, path and body
 * @param durable whether another daemon must take the request over if its holder fails
 * @param method HTTP method
 * @param pathAndQuery path with query
 * @param headers headers to forward, by lower-case name
 * @param body the body; the array is not copied and must not be changed
 * @param scheduling input for the scheduler
 * @param deadline time at which the journal stops waiting for the request
 */
public record KeyedRequest(IdempotencyKey key, Fingerprint fingerprint, boolean durable, String method,
		String pathAndQuery, Map<String, String> headers, byte[] body, SchedulingRequest scheduling, Instant deadline) {

	/**
	 * Creates the request.
	 */
	public KeyedRequest {
		Objects.requireNonNull(key, "key must not be null");
		Objects.requireNonNull(fingerprint, "fingerprint must not be null");
		Objects.requireNonNull(method, "method must not be null");
		Objects.requireNonNull(pathAndQuery, "pathAndQuery must not be null");
		headers = Map.copyOf(headers);
		Objects.requireNonNull(body, "body must not be null");
		Objects.requireNonNull(scheduling, "scheduling must not be null");
		Objects.requireNonNull(deadline, "deadline must not be null");
	}

}
