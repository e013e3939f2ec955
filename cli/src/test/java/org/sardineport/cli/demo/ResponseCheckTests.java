package org.sardineport.cli.demo;

import java.time.Duration;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.sardineport.cli.demo.CallResult.Outcome;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which responses count as complete, aborted, refused or incorrect.
 */
class ResponseCheckTests {

	private static final String END = "data: [DONE]\n\n";

	private static final String REFUSAL = "{\"kind\":\"overloaded\",\"outcome\":\"not-run\"}";

	@Test
	void acceptsAllTokensInOrderWithTheFinalEvent() {
		assertThat(outcome(200, tokens("t", 20) + END, true)).isEqualTo(Outcome.COMPLETE);
	}

	@Test
	void detectsMissingTokensAndTokensOfAnotherRequest() {
		assertThat(outcome(200, tokens("t", 19) + END, true)).isEqualTo(Outcome.INCORRECT);
		assertThat(outcome(200, tokens("t", 20), true)).isEqualTo(Outcome.INCORRECT);
		assertThat(outcome(200, tokens("u", 20) + END, true)).isEqualTo(Outcome.INCORRECT);
		assertThat(outcome(200, tokens("t", 20) + tokens("u", 1) + END, true)).isEqualTo(Outcome.INCORRECT);
	}

	@Test
	void distinguishesAnErrorEventFromALostConnection() {
		assertThat(outcome(200, tokens("t", 3) + "event: error\ndata: {\"kind\":\"preempted\"}\n\n", false))
			.isEqualTo(Outcome.ABORTED);
		assertThat(outcome(200, tokens("t", 3), false)).isEqualTo(Outcome.CONNECTION_LOST);
	}

	@Test
	void readsTheOutcomeOfARefusal() {
		assertThat(outcome(503, REFUSAL, true)).isEqualTo(Outcome.NOT_RUN);
		assertThat(outcome(502, REFUSAL.replace("not-run", "unknown"), true)).isEqualTo(Outcome.UNKNOWN);
		assertThat(outcome(503, "gateway error", true)).isEqualTo(Outcome.INCORRECT);
	}

	private static Outcome outcome(int status, String body, boolean complete) {
		WorkItem item = new WorkItem(WorkKind.LOOKUP, "t", "", "{}", "schools", Duration.ZERO);
		return ResponseCheck.check(item, status, body, complete, Duration.ofMillis(5)).outcome();
	}

	private static String tokens(String tag, int count) {
		return IntStream.rangeClosed(1, count)
			.mapToObj((i) -> "data: {\"choices\":[{\"delta\":{\"content\":\"%s:%d \"}}]}\n\n".formatted(tag, i))
			.collect(Collectors.joining());
	}

}
