package org.sardineport.core.exchange;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests how a response states its end.
 */
class ResponseFramingTests {

	@Test
	void responsesWithoutABodyEndWithTheirHead() {
		assertThat(ResponseFraming.of("HEAD", 200, false, true)).isEqualTo(ResponseFraming.NO_BODY);
		assertThat(ResponseFraming.of("GET", 204, false, false)).isEqualTo(ResponseFraming.NO_BODY);
		assertThat(ResponseFraming.of("GET", 304, false, false)).isEqualTo(ResponseFraming.NO_BODY);
	}

	@Test
	void chunksGoBeforeALength() {
		assertThat(ResponseFraming.of("GET", 200, true, true)).isEqualTo(ResponseFraming.CHUNKS);
		assertThat(ResponseFraming.of("GET", 200, false, true)).isEqualTo(ResponseFraming.LENGTH);
	}

	@Test
	void onlyAResponseWithNeitherEndsWithItsConnection() {
		ResponseFraming framing = ResponseFraming.of("POST", 200, false, false);
		assertThat(framing).isEqualTo(ResponseFraming.UNTIL_CLOSE);
		assertThat(framing.statesEnd()).isFalse();
	}

}
