package org.sardineport.core.journal;

import java.time.Instant;
import java.util.Map;
import java.util.Objects;

import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.request.Fingerprint;

/**
 * A request that goes through the journal. All parts are there to run it on another
 * daemon, should this one die.
 *
 * @param key its key
 * @param fingerprint hash of organisation, method, path and body
 * @param durable whether another daemon must take it over
 * @param method HTTP method
 * @param pathAndQuery path with query
 * @param headers headers to pass on, by lower-case name
 * @param body the body; the array is not copied and must not be changed
 * @param scheduling what scheduling needs to know
 * @param deadline when the journal gives up waiting
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
