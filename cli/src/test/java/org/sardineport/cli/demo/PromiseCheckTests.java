package org.sardineport.cli.demo;

import java.time.Duration;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sardineport.cli.demo.CallResult.Outcome;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that each violation of a promise is detected, and valid results are accepted.
 */
class PromiseCheckTests {

	/**
	 * Results that violate one promise each.
	 */
	enum Violation {

		DISPATCHED_TWICE_ON_ONE_ENGINE(WorkKind.LOOKUP, Outcome.COMPLETE, "", Map.of("t", 2), Map.of()),
		DISPATCHED_ON_TWO_ENGINES(WorkKind.LOOKUP, Outcome.COMPLETE, "", Map.of("t", 1), Map.of("t", 1)),
		POSTED_TWICE(WorkKind.POSTING, Outcome.COMPLETE, "", Map.of("k", 2), Map.of()),
		INCORRECT_RESPONSE(WorkKind.LOOKUP, Outcome.INCORRECT, "", Map.of("t", 1), Map.of()),
		DISPATCHED_BUT_REPORTED_NOT_RUN(WorkKind.LOOKUP, Outcome.NOT_RUN, "deadline-passed/not-run", Map.of("t", 1),
				Map.of()),
		POSTED_BUT_REPORTED_NOT_RUN(WorkKind.POSTING, Outcome.NOT_RUN, "journal-busy/not-run", Map.of("k", 1),
				Map.of()),
		COMPLETED_WITHOUT_DISPATCH(WorkKind.LOOKUP, Outcome.COMPLETE, "", Map.of(), Map.of()),
		CONNECTION_LOST(WorkKind.DRAFT, Outcome.CONNECTION_LOST, "closed", Map.of("t", 1), Map.of()),
		TOP_TIER_SHED(WorkKind.LOOKUP, Outcome.NOT_RUN, "overloaded/not-run", Map.of(), Map.of());

		private final CallResult result;

		private final List<Map<String, Integer>> dispatches;

		Violation(WorkKind kind, Outcome outcome, String reason, Map<String, Integer> first,
				Map<String, Integer> second) {
			this.result = result(kind, outcome, reason);
			this.dispatches = List.of(first, second);
		}

	}

	@ParameterizedTest
	@EnumSource
	void detectsTheViolation(Violation violation) {
		assertThat(PromiseCheck.check(List.of(violation.result), violation.dispatches)).hasSize(1);
	}

	@Test
	void reportsNothingIfAllPromisesHold() {
		List<CallResult> results = List.of(result(WorkKind.LOOKUP, Outcome.COMPLETE, ""),
				result(WorkKind.POSTING, Outcome.COMPLETE, ""), result(WorkKind.POSTING, Outcome.COMPLETE, ""));
		assertThat(PromiseCheck.check(results, List.of(Map.of("t", 1), Map.of("k", 1)))).isEmpty();
	}

	@Test
	void acceptsNotRunForADuplicateOfACompletedRequest() {
		List<CallResult> results = List.of(result(WorkKind.POSTING, Outcome.COMPLETE, ""),
				result(WorkKind.POSTING, Outcome.NOT_RUN, "journal-busy/not-run"));
		assertThat(PromiseCheck.check(results, List.of(Map.of("k", 1)))).isEmpty();
	}

	private static CallResult result(WorkKind kind, Outcome outcome, String reason) {
		WorkItem item = new WorkItem(kind, "t", "k", "{}", "schools", Duration.ZERO);
		return new CallResult(item, outcome, reason, Duration.ofMillis(10));
	}

}
