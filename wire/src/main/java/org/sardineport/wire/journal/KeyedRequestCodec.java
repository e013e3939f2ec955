package org.sardineport.wire.journal;

import java.time.Instant;

import com.google.protobuf.UnsafeByteOperations;
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
import org.sardineport.wire.message.JournalRequest;

/**
 * Converts durable requests to their protobuf messages and back. Enum values are encoded
 * by ordinal.
 */
final class KeyedRequestCodec {

	private static final Tier[] TIERS = Tier.values();

	private static final RunningPolicy[] POLICIES = RunningPolicy.values();

	private KeyedRequestCodec() {
	}

	static JournalRequest encode(KeyedRequest request) {
		SchedulingRequest scheduling = request.scheduling();
		return JournalRequest.newBuilder()
			.setMethod(request.method())
			.setPathAndQuery(request.pathAndQuery())
			.putAllHeaders(request.headers())
			.setBody(UnsafeByteOperations.unsafeWrap(request.body()))
			.setPool(scheduling.pool().value())
			.setTier(scheduling.tier().ordinal())
			.setPromptTokens(scheduling.estimate().prompt())
			.setAnswerTokens(scheduling.estimate().answer())
			.setPrefixHash(scheduling.prefixHash())
			.setRunningPolicy(scheduling.runningPolicy().ordinal())
			.setOrganisationTokensPerSecond(scheduling.organisationTokensPerSecond())
			.setRequestId(scheduling.id().value())
			.setArrivalMillis(scheduling.arrival().toEpochMilli())
			.build();
	}

	static KeyedRequest decode(OrganisationId organisation, String key, Instant issuedAt, Instant deadline,
			Fingerprint fingerprint, JournalRequest message) {
		SchedulingRequest scheduling = new SchedulingRequest(RequestId.of(message.getRequestId()),
				PoolName.of(message.getPool()), organisation, value(TIERS, message.getTier()),
				TokenEstimate.of(message.getPromptTokens(), message.getAnswerTokens()), message.getPrefixHash(),
				fingerprint, value(POLICIES, message.getRunningPolicy()), message.getOrganisationTokensPerSecond(),
				Instant.ofEpochMilli(message.getArrivalMillis()), deadline);
		return new KeyedRequest(new IdempotencyKey(organisation, key, issuedAt), fingerprint, true, message.getMethod(),
				message.getPathAndQuery(), message.getHeadersMap(), message.getBody().toByteArray(), scheduling,
				deadline);
	}

	private static <E> E value(E[] values, int ordinal) {
		if (ordinal < 0 || ordinal >= values.length) {
			throw new IllegalArgumentException("unknown enum ordinal %d".formatted(ordinal));
		}
		return values[ordinal];
	}

}
