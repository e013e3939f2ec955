package org.sardineport.core.exchange;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against forwarding header fields that are hop-by-hop, reserved for this system
 * or must not be set by callers.
 */
class HeaderNamesTests {

	@Test
	void dropsHopByHopFieldsAndThoseListedInConnection() {
		List<Map.Entry<String, String>> fields = List.of(Map.entry("Connection", "close, X-Hop"),
				Map.entry("X-Hop", "1"), Map.entry("Keep-Alive", "5"), Map.entry("TE", "trailers"),
				Map.entry("Transfer-Encoding", "chunked"), Map.entry("Upgrade", "websocket"),
				Map.entry("Proxy-Authorization", "x"), Map.entry("Accept", "a"), Map.entry("Accept", "b"));
		assertThat(HeaderNames.forBackend(fields, true)).containsExactly(Map.entry("Accept", "a"),
				Map.entry("Accept", "b"));
		assertThat(HeaderNames.forCaller(fields)).hasSize(2);
	}

	@Test
	void dropsFieldsThatCallersMustNotSet() {
		List<Map.Entry<String, String>> fields = List.of(Map.entry("Host", "evil"), Map.entry("X-Request-Id", "other"),
				Map.entry("SARDINEPORT-Profile", "p"), Map.entry("Expect", "100-continue"),
				Map.entry("Content-Length", "7"), Map.entry("Idempotency-Key", "k"));
		assertThat(HeaderNames.forBackend(fields, true)).containsExactly(Map.entry("Idempotency-Key", "k"));
	}

	@Test
	void forwardsAuthorizationOnlyWhenRequested() {
		List<Map.Entry<String, String>> fields = List.of(Map.entry("Authorization", "Bearer secret"));
		assertThat(HeaderNames.forBackend(fields, false)).isEmpty();
		assertThat(HeaderNames.forBackend(fields, true)).hasSize(1);
	}

	@Test
	void dropsOwnFieldsFromBackendResponses() {
		assertThat(HeaderNames.forCaller(List.of(Map.entry("sardineport-outcome", "not-run")))).isEmpty();
	}

}
