package org.sardineport.cli.demo;

import java.time.Duration;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.sardineport.cli.demo.CallResult.Ending;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What counts as the whole answer to a request.
 */
class AnswerCheckTests {

	private static final String END = "data: [DONE]\n\n";

	private static final String REFUSAL = "{\"kind\":\"overloaded\",\"outcome\":\"not-run\"}";

	@Test
	void takesAllTokensInOrderWithTheFinalEvent() {
		assertThat(ending(200, tokens("t", 20) + END, true)).isEqualTo(Ending.WHOLE);
	}

	@Test
	void findsTokensThatAreMissingOrOfAnotherRequest() {
		assertThat(ending(200, tokens("t", 19) + END, true)).isEqualTo(Ending.WRONG);
		assertThat(ending(200, tokens("t", 20), true)).isEqualTo(Ending.WRONG);
		assertThat(ending(200, tokens("u", 20) + END, true)).isEqualTo(Ending.WRONG);
		assertThat(ending(200, tokens("t", 20) + tokens("u", 1) + END, true)).isEqualTo(Ending.WRONG);
	}

	@Test
	void tellsANoticeFromAConnectionThatBreaks() {
		assertThat(ending(200, tokens("t", 3) + "event: error\ndata: {\"kind\":\"preempted\"}\n\n", false))
			.isEqualTo(Ending.BROKEN_OFF);
		assertThat(ending(200, tokens("t", 3), false)).isEqualTo(Ending.CUT_OFF);
	}

	@Test
	void readsTheOutcomeOfARefusal() {
		assertThat(ending(503, REFUSAL, true)).isEqualTo(Ending.NOT_RUN);
		assertThat(ending(502, REFUSAL.replace("not-run", "unknown"), true)).isEqualTo(Ending.UNKNOWN);
		assertThat(ending(503, "gateway error", true)).isEqualTo(Ending.WRONG);
	}

	private static Ending ending(int status, String body, boolean complete) {
		WorkItem item = new WorkItem(WorkKind.LOOKUP, "t", "", "{}", "schools", Duration.ZERO);
		return AnswerCheck.check(item, status, body, complete, Duration.ofMillis(5)).ending();
	}

	private static String tokens(String tag, int count) {
		return IntStream.rangeClosed(1, count)
			.mapToObj((i) -> "data: {\"choices\":[{\"delta\":{\"content\":\"%s:%d \"}}]}\n\n".formatted(tag, i))
			.collect(Collectors.joining());
	}

}
