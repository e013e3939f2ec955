package org.sardineport.core.journal;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;

import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.request.Fingerprint;
import org.sardineport.core.request.RunningPolicy;
import org.sardineport.core.request.Tier;
import org.sardineport.core.request.TokenEstimate;

/**
 * Factory of keyed requests for tests. Requests with the same body number have the same
 * fingerprint.
 */
final class KeyedRequests {

	static final OrganisationId ORGANISATION = OrganisationId.of("acme");

	private KeyedRequests() {
	}

	static KeyedRequest of(String key, long body, boolean durable, Instant issuedAt, Duration time) {
		Fingerprint fingerprint = Fingerprint.of(body, body);
		SchedulingRequest scheduling = new SchedulingRequest(RequestId.of("r"), PoolName.of("pool"), ORGANISATION,
				Tier.STANDARD, TokenEstimate.NONE, 0, fingerprint, RunningPolicy.UNINTERRUPTIBLE, 0, issuedAt,
				issuedAt.plus(time));
		return new KeyedRequest(new IdempotencyKey(ORGANISATION, key, issuedAt), fingerprint, durable, "POST", "/v1/x",
				Map.of(), new byte[] { (byte) body }, scheduling, issuedAt.plus(time));
	}

}
