package org.sardineport.core.journal;

import java.time.Instant;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.request.Fingerprint;

/**
 * Request for which a claim is made.
 *
 * @param key the key
 * @param fingerprint hash of the request
 * @param deadline time by which the claim must be decided
 * @param request the complete request if it is durable and therefore stored in the log,
 * else {@code null}
 */
record ClaimSubject(IdempotencyKey key, Fingerprint fingerprint, Instant deadline, @Nullable KeyedRequest request) {

	static ClaimSubject of(KeyedRequest request) {
		return new ClaimSubject(request.key(), request.fingerprint(), request.deadline(),
				(request.durable()) ? request : null);
	}

}
