package org.sardineport.cli.demo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.sardineport.core.request.Tier;

/**
 * Compares the results of callers with the requests that the stand-ins received, and
 * reports violated promises.
 */
final class PromiseCheck {

	private final List<CallResult> results;

	private final Map<String, Integer> runs;

	private final List<String> violations = new ArrayList<>();

	private PromiseCheck(List<CallResult> results, Map<String, Integer> runs) {
		this.results = results;
		this.runs = runs;
	}

	/**
	 * Checks all promises.
	 * @param results results of all requests
	 * @param dispatches numbers of requests that each backend server received, by tag or
	 * idempotency key
	 * @return one line for each violation
	 */
	static List<String> check(List<CallResult> results, List<Map<String, Integer>> dispatches) {
		Map<String, Integer> runs = new HashMap<>();
		dispatches.forEach((server) -> server.forEach((name, count) -> runs.merge(name, count, Integer::sum)));
		PromiseCheck check = new PromiseCheck(results, runs);
		check.checkDispatchedAtMostOnce();
		check.checkResponsesAreCorrect();
		check.checkNotRunWasNotDispatched();
		check.checkCompletedWasDispatched();
		check.checkNoConnectionWasLost();
		check.checkTopTierWasNotShed();
		return check.violations;
	}

	private void checkDispatchedAtMostOnce() {
		this.runs.forEach((name, count) -> {
			if (count > 1) {
				this.violations.add("%s was dispatched %d times".formatted(name, count));
			}
		});
	}

	private void checkResponsesAreCorrect() {
		this.results.stream()
			.filter((result) -> result.outcome() == CallResult.Outcome.INCORRECT)
			.forEach((result) -> this.violations
				.add(result.item().tag() + " received an incorrect or incomplete response without an error"));
	}

	private void checkNotRunWasNotDispatched() {
		Map<String, Boolean> onlyNotRun = new HashMap<>();
		this.results.forEach((result) -> onlyNotRun.merge(name(result.item()),
				result.outcome() == CallResult.Outcome.NOT_RUN, Boolean::logicalAnd));
		onlyNotRun.forEach((name, notRun) -> {
			if (notRun && this.runs.containsKey(name)) {
				this.violations.add(name + " was dispatched although its caller received the outcome not-run");
			}
		});
	}

	private void checkCompletedWasDispatched() {
		this.results.stream()
			.filter((result) -> result.outcome() == CallResult.Outcome.COMPLETE)
			.filter((result) -> !this.runs.containsKey(name(result.item())))
			.forEach((result) -> this.violations
				.add(result.item().tag() + " received a complete response without being dispatched"));
	}

	private void checkNoConnectionWasLost() {
		this.results.stream()
			.filter((result) -> result.outcome() == CallResult.Outcome.CONNECTION_LOST)
			.forEach((result) -> this.violations.add("%s lost its connection without an error event: %s"
				.formatted(result.item().tag(), result.reason())));
	}

	private void checkTopTierWasNotShed() {
		this.results.stream()
			.filter((result) -> result.item().kind().tier() == Tier.URGENT)
			.filter((result) -> result.reason().startsWith("overloaded"))
			.forEach((result) -> this.violations.add(result.item().tag() + " of the top tier was shed"));
	}

	private static String name(WorkItem item) {
		return (item.kind().isGenerated()) ? item.tag() : item.key();
	}

}
