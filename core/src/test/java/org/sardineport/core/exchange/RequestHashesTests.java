package org.sardineport.core.exchange;

import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.request.Fingerprint;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against equal hashes for different requests, and different hashes for prompts
 * with a shared first block.
 */
class RequestHashesTests {

	private static final String SHARED_PREFIX = "You explain clauses of leases. ".repeat(20);

	@Test
	void fingerprintDependsOnEachPart() {
		assertThat(fingerprint("o", "POST", "/a", "x")).isEqualTo(fingerprint("o", "POST", "/a", "x"))
			.isNotEqualTo(fingerprint("p", "POST", "/a", "x"))
			.isNotEqualTo(fingerprint("o", "PUT", "/a", "x"))
			.isNotEqualTo(fingerprint("o", "POST", "/b", "x"))
			.isNotEqualTo(fingerprint("o", "POST", "/a", "y"));
	}

	@Test
	void fingerprintSeparatesAdjacentParts() {
		assertThat(fingerprint("o", "POST", "/ab", "c")).isNotEqualTo(fingerprint("o", "POST", "/a", "bc"));
	}

	@Test
	void promptsWithSameFirstBlockHaveSameHash() {
		assertThat(prefix("a", SHARED_PREFIX + "first")).isNotZero().isEqualTo(prefix("a", SHARED_PREFIX + "second"));
	}

	@Test
	void fieldsBeforePromptDoNotChangeHash() {
		assertThat(prefix("a", SHARED_PREFIX)).isEqualTo(prefix("other", SHARED_PREFIX));
	}

	@Test
	void shortPromptsHaveNoHash() {
		assertThat(prefix("a", "short")).isZero();
		assertThat(RequestHashes.prefix(new byte[0])).isZero();
	}

	private static long prefix(String user, String content) {
		String body = "{\"user\":\"%s\",\"messages\":[{\"content\":\"%s\"}]}".formatted(user, content);
		return RequestHashes.prefix(body.getBytes(StandardCharsets.UTF_8));
	}

	private static Fingerprint fingerprint(String organisation, String method, String path, String body) {
		return RequestHashes.fingerprint(OrganisationId.of(organisation), method, path,
				body.getBytes(StandardCharsets.UTF_8));
	}

}
