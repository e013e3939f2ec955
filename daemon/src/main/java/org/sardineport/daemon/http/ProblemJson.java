package org.sardineport.daemon.http;

import java.time.Duration;
import java.util.List;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.request.Refusal;

/**
 * Problem document (RFC 9457) that describes a refusal to the caller.
 */
@JsonInclude(JsonInclude.Include.NON_EMPTY)
record ProblemJson(String type, String title, int status, String detail, String kind, String outcome, String remedy,
		@Nullable Long retryAfterSeconds, String requestId, List<String> entries) {

	static final String CONTENT_TYPE = "application/problem+json";

	private static final String TYPE_PREFIX = "urn:sardineport:refusal:";

	private static final ObjectMapper JSON = new ObjectMapper();

	static ProblemJson of(Refusal refusal, String requestId, List<NetworkAddress> entries) {
		String kind = refusal.reason().label();
		return new ProblemJson(TYPE_PREFIX + kind, kind.replace('-', ' '), refusal.reason().status(), refusal.detail(),
				kind, refusal.outcome().label(), refusal.reason().remedy(), retryAfterSeconds(refusal), requestId,
				entries.stream().map(NetworkAddress::toString).toList());
	}

	static @Nullable Long retryAfterSeconds(Refusal refusal) {
		Duration wait = refusal.retryAfter();
		return (wait != null) ? Math.max(1, (wait.toMillis() + 999) / 1000) : null;
	}

	byte[] toBytes() {
		try {
			return JSON.writeValueAsBytes(this);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("a problem document must be serializable to JSON", ex);
		}
	}

}
