package org.sardineport.cli.explain;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class RequestHistoryTests {

	private static final String DISPATCHED = "time=2026-09-21T01:09:20.094Z INFO RelayRun event=request.dispatched "
			+ "request=e6b2 route=r backend-server=i-8 attempt=1 tier=interactive version=4 proof-age-ms=997 waited-ms=3";

	private static final String ENDED = "time=2026-09-21T01:09:20.382Z INFO RelayRun event=request.attempt-ended "
			+ "request=e6b2 backend-server=i-8 end=silent attempt=1 again=true detail=\"nothing came for 288 ms\"";

	private static final String ANSWERED = "time=2026-09-21T01:09:20.451Z INFO RelayRun event=request.answered "
			+ "request=e6b2 route=r status=200 attempts=2 version=4 age-ms=361";

	@Test
	void ordersTheLinesOfOneRequestByTime() {
		List<String> lines = RequestHistory
			.fromLogs("e6b2", List.of(ANSWERED, "event=other request=e6b27", ENDED, DISPATCHED, "no event e6b2"))
			.lines();
		assertThat(lines).hasSize(4);
		assertThat(lines.get(0)).contains("sent to i-8 as attempt 1");
		assertThat(lines.get(1)).contains("silent (nothing came for 288 ms); tried again: true");
		assertThat(lines.get(2)).contains("answered with status 200");
		assertThat(lines.get(3)).isEqualTo("cause: none: the caller was answered");
	}

	@Test
	void tellsHowAResponseEnded() {
		String line = ANSWERED + " framing=until-close events=8 last-event=8";
		assertThat(RequestHistory.fromLogs("e6b2", List.of(line)).lines().get(0))
			.endsWith("2 attempts, framing until-close, 8 events up to 8");
	}

	@Test
	void reportsAMissingFinalEvent() {
		List<String> lines = RequestHistory.fromLogs("e6b2", List.of(DISPATCHED)).lines();
		assertThat(lines.get(lines.size() - 1)).startsWith("missing:");
		assertThat(RequestHistory.fromLogs("other", List.of(DISPATCHED)).isKnown()).isFalse();
	}

	@ParameterizedTest
	@CsvSource({ "not-ready, last read 5100 ms before", "overloaded, no backend server had room",
			"backend-timeout, whether it ran is not known", "organisation-limit, used up its limit",
			"unauthorized, not in configuration 4" })
	void reportsTheCauseOfARefusal(String kind, String cause) {
		String line = "time=1 event=request.refused request=e6b2 kind=" + kind
				+ " attempts=0 version=4 proof-age-ms=5100 detail=\"some detail\"";
		assertThat(RequestHistory.fromLogs("e6b2", List.of(line)).lines().get(1)).contains(cause);
	}

}
