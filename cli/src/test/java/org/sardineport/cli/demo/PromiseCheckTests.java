package org.sardineport.cli.demo;

import java.time.Duration;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sardineport.cli.demo.CallResult.Ending;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The demonstration's checks find each promise that is broken.
 */
class PromiseCheckTests {

	/**
	 * Promises, broken one by one.
	 */
	enum Broken {

		DISPATCHED_TWICE_ON_ONE_ENGINE(WorkKind.LOOKUP, Ending.WHOLE, "", Map.of("t", 2), Map.of()),
		DISPATCHED_ON_TWO_ENGINES(WorkKind.LOOKUP, Ending.WHOLE, "", Map.of("t", 1), Map.of("t", 1)),
		POSTED_TWICE(WorkKind.POSTING, Ending.WHOLE, "", Map.of("k", 2), Map.of()),
		WRONG_ANSWER(WorkKind.LOOKUP, Ending.WRONG, "", Map.of("t", 1), Map.of()),
		RAN_THOUGH_TOLD_NOT_RUN(WorkKind.LOOKUP, Ending.NOT_RUN, "deadline-passed/not-run", Map.of("t", 1), Map.of()),
		POSTED_THOUGH_TOLD_NOT_RUN(WorkKind.POSTING, Ending.NOT_RUN, "journal-busy/not-run", Map.of("k", 1), Map.of()),
		ANSWERED_WITHOUT_RUNNING(WorkKind.LOOKUP, Ending.WHOLE, "", Map.of(), Map.of()),
		CUT_OFF(WorkKind.DRAFT, Ending.CUT_OFF, "closed", Map.of("t", 1), Map.of()),
		TOP_TIER_SHED(WorkKind.LOOKUP, Ending.NOT_RUN, "overloaded/not-run", Map.of(), Map.of());

		private final CallResult result;

		private final List<Map<String, Integer>> dispatches;

		Broken(WorkKind kind, Ending ending, String reason, Map<String, Integer> first, Map<String, Integer> second) {
			this.result = result(kind, ending, reason);
			this.dispatches = List.of(first, second);
		}

	}

	@ParameterizedTest
	@EnumSource
	void isFound(Broken broken) {
		assertThat(PromiseCheck.check(List.of(broken.result), broken.dispatches)).hasSize(1);
	}

	@Test
	void findsNothingIfAllHeld() {
		List<CallResult> results = List.of(result(WorkKind.LOOKUP, Ending.WHOLE, ""),
				result(WorkKind.POSTING, Ending.WHOLE, ""), result(WorkKind.POSTING, Ending.WHOLE, ""));
		assertThat(PromiseCheck.check(results, List.of(Map.of("t", 1), Map.of("k", 1)))).isEmpty();
	}

	@Test
	void aRepetitionMayBeToldNotRunIfTheOtherWasAnswered() {
		List<CallResult> results = List.of(result(WorkKind.POSTING, Ending.WHOLE, ""),
				result(WorkKind.POSTING, Ending.NOT_RUN, "journal-busy/not-run"));
		assertThat(PromiseCheck.check(results, List.of(Map.of("k", 1)))).isEmpty();
	}

	private static CallResult result(WorkKind kind, Ending ending, String reason) {
		WorkItem item = new WorkItem(kind, "t", "k", "{}", "schools", Duration.ZERO);
		return new CallResult(item, ending, reason, Duration.ofMillis(10));
	}

}
