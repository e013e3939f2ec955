package org.sardineport.daemon.journal;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;

import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.journal.IdempotencyKey;
import org.sardineport.core.journal.KeyedRequest;
import org.sardineport.core.request.Fingerprint;
import org.sardineport.core.request.RunningPolicy;
import org.sardineport.core.request.Tier;
import org.sardineport.core.request.TokenEstimate;

/**
 * Creates keyed requests with times rounded down to milliseconds, as the journal stores
 * them.
 */
final class KeyedRequests {

	static final OrganisationId ORGANISATION = OrganisationId.of("acme");

	private KeyedRequests() {
	}

	static KeyedRequest request(String key, boolean durable, Instant now, Duration time) {
		return request(key, durable, now, time, "body of " + key);
	}

	static KeyedRequest request(String key, boolean durable, Instant now, Duration time, String body) {
		byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
		Fingerprint fingerprint = Fingerprint.of(body.hashCode(), body.length());
		Instant millis = Instant.ofEpochMilli(now.toEpochMilli());
		SchedulingRequest scheduling = new SchedulingRequest(RequestId.of("request-" + key), PoolName.of("pool"),
				ORGANISATION, Tier.STANDARD, TokenEstimate.of(10, 20), 7, fingerprint, RunningPolicy.UNINTERRUPTIBLE, 5,
				millis, millis.plus(time));
		return new KeyedRequest(new IdempotencyKey(ORGANISATION, key, millis), fingerprint, durable, "POST", "/v1/x",
				Map.of("content-type", "text/plain"), bytes, scheduling, millis.plus(time));
	}

}
