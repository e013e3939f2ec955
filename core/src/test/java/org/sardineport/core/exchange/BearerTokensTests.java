package org.sardineport.core.exchange;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against accepting a request without exactly one valid bearer token.
 */
class BearerTokensTests {

	private static final List<String> HASHES = List.of(BearerTokens.hash("old"), BearerTokens.hash("new"));

	@Test
	void hashMatchesStandardTestVector() {
		assertThat(BearerTokens.hash("abc"))
			.isEqualTo("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
	}

	@ParameterizedTest
	@ValueSource(strings = { "Bearer old", "Bearer new", "bearer new", "Bearer new " })
	void acceptsAnyConfiguredToken(String header) {
		assertThat(BearerTokens.isAccepted(HASHES, (name) -> List.of(header))).isTrue();
	}

	@ParameterizedTest
	@ValueSource(strings = { "Bearer ", "Bearer", "Bearer other", "Basic new", "new", "Bearer new old" })
	void rejectsOtherAuthorizationValues(String header) {
		assertThat(BearerTokens.isAccepted(HASHES, (name) -> List.of(header))).isFalse();
	}

	@Test
	void rejectsTwoAuthorizationFields() {
		assertThat(BearerTokens.isAccepted(HASHES, (name) -> List.of("Bearer new", "Bearer new"))).isFalse();
	}

	@Test
	void rejectsTokenHashAsToken() {
		assertThat(BearerTokens.isAccepted(HASHES, (name) -> List.of("Bearer " + HASHES.get(0)))).isFalse();
	}

	@Test
	void refusesEveryRequestWhenNoTokenIsAccepted() {
		assertThat(BearerTokens.isAccepted(List.of(), (name) -> List.of("Bearer new"))).isFalse();
	}

}
