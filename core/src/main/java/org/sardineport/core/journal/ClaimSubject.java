package org.sardineport.core.journal;

import java.time.Instant;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.request.Fingerprint;

/**
 * What a claim is made on.
 *
 * @param key the key
 * @param fingerprint hash of the request
 * @param deadline when the claim is given up
 * @param request the request itself, if it is to be in the log
 */
record ClaimSubject(IdempotencyKey key, Fingerprint fingerprint, Instant deadline, @Nullable KeyedRequest request) {

	static ClaimSubject of(KeyedRequest request) {
		return new ClaimSubject(request.key(), request.fingerprint(), request.deadline(),
				(request.durable()) ? request : null);
	}

}
