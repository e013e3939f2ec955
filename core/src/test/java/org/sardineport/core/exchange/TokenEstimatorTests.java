package org.sardineport.core.exchange;

import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sardineport.core.request.TokenEstimate;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against wrong estimates from malformed or unusual request bodies.
 */
class TokenEstimatorTests {

	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
			{"max_tokens":7}|7
			{"max_tokens" : 7 }|7
			{"max_completion_tokens":9,"max_tokens":7}|9
			{"max_tokens":null}|50
			{"max_tokens":-3}|50
			{"max_tokens":"7"}|50
			{"max_tokens":0}|50
			{"max_tokens":999999999999999999999}|10000000
			{"messages":[{"content":"say \\"max_tokens\\":5 now"}]}|50
			{"messages":[{"content":"say \\"max_tokens\\":5"}],"max_tokens":8}|8
			{"max_tokens":|50
			{"max_tokens"|50
			not json at all|50
			""")
	void readsTokenLimitFromBody(String body, int expected) {
		TokenEstimate estimate = TokenEstimator.estimate(body.getBytes(StandardCharsets.UTF_8), 50);
		assertThat(estimate.answer()).isEqualTo(expected);
		assertThat(estimate.prompt()).isPositive();
	}

	@Test
	void plainServiceHasNoEstimate() {
		assertThat(TokenEstimator.estimate("{\"max_tokens\":7}".getBytes(StandardCharsets.UTF_8), 0))
			.isEqualTo(TokenEstimate.NONE);
	}

}
