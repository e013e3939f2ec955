package org.sardineport.core.exchange;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against responses that count as complete though nothing states it.
 */
class ResponseEndTests {

	@ParameterizedTest
	@EnumSource
	void noResponseEndsInsideAnEvent(ResponseEnd end) {
		assertThat(end.judge(ContentEnd.INSIDE_EVENT)).isEqualTo(Completeness.INCOMPLETE);
	}

	@ParameterizedTest
	@EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "INSIDE_EVENT")
	void statedEndCountsOutsideOfEvents(ContentEnd content) {
		assertThat(ResponseEnd.STATED.judge(content)).isEqualTo(Completeness.COMPLETE);
	}

	@Test
	void endOfAConnectionOfALiveProcessEndsOnlyWhatMayEndThere() {
		assertThat(ResponseEnd.CLOSED_BY_LIVE_PROCESS.judge(ContentEnd.OPAQUE)).isEqualTo(Completeness.COMPLETE);
		assertThat(ResponseEnd.CLOSED_BY_LIVE_PROCESS.judge(ContentEnd.AFTER_EVENT))
			.isEqualTo(Completeness.UNCONFIRMED);
		assertThat(ResponseEnd.CLOSED_BY_LIVE_PROCESS.judge(ContentEnd.BEFORE_FIRST_EVENT))
			.isEqualTo(Completeness.INCOMPLETE);
	}

	@ParameterizedTest
	@EnumSource
	void endOfAConnectionAloneEndsNothing(ContentEnd content) {
		assertThat(ResponseEnd.CLOSED.judge(content)).isEqualTo(Completeness.INCOMPLETE);
		assertThat(ResponseEnd.CLOSED_BY_HELPER.judge(content)).isEqualTo(Completeness.INCOMPLETE);
	}

}
