package org.sardineport.cli.demo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.sardineport.core.request.Tier;

/**
 * Compares what callers were told with what the stand-ins counted.
 */
final class PromiseCheck {

	private final List<CallResult> results;

	private final Map<String, Integer> runs;

	private final List<String> broken = new ArrayList<>();

	private PromiseCheck(List<CallResult> results, Map<String, Integer> runs) {
		this.results = results;
		this.runs = runs;
	}

	/**
	 * Checks all promises.
	 * @param results what callers got
	 * @param dispatches requests that each backend server received, by tag or key
	 * @return one line for each promise that was broken
	 */
	static List<String> check(List<CallResult> results, List<Map<String, Integer>> dispatches) {
		Map<String, Integer> runs = new HashMap<>();
		dispatches.forEach((server) -> server.forEach((name, count) -> runs.merge(name, count, Integer::sum)));
		PromiseCheck check = new PromiseCheck(results, runs);
		check.ranAtMostOnce();
		check.answersAreOwnAndWhole();
		check.notRunIsTrue();
		check.completedDidRun();
		check.nothingWasCutOff();
		check.topTierWasNotShed();
		return check.broken;
	}

	private void ranAtMostOnce() {
		this.runs.forEach((name, count) -> {
			if (count > 1) {
				this.broken.add("%s was dispatched %d times".formatted(name, count));
			}
		});
	}

	private void answersAreOwnAndWhole() {
		this.results.stream()
			.filter((result) -> result.ending() == CallResult.Ending.WRONG)
			.forEach((result) -> this.broken.add(result.item().tag() + " got a wrong or partial answer as if whole"));
	}

	private void notRunIsTrue() {
		Map<String, Boolean> onlyNotRun = new HashMap<>();
		this.results.forEach((result) -> onlyNotRun.merge(name(result.item()),
				result.ending() == CallResult.Ending.NOT_RUN, Boolean::logicalAnd));
		onlyNotRun.forEach((name, notRun) -> {
			if (notRun && this.runs.containsKey(name)) {
				this.broken.add(name + " ran, and its caller was told that it did not");
			}
		});
	}

	private void completedDidRun() {
		this.results.stream()
			.filter((result) -> result.ending() == CallResult.Ending.WHOLE)
			.filter((result) -> !this.runs.containsKey(name(result.item())))
			.forEach((result) -> this.broken.add(result.item().tag() + " was answered and never ran"));
	}

	private void nothingWasCutOff() {
		this.results.stream()
			.filter((result) -> result.ending() == CallResult.Ending.CUT_OFF)
			.forEach((result) -> this.broken.add("%s was cut off: %s".formatted(result.item().tag(), result.reason())));
	}

	private void topTierWasNotShed() {
		this.results.stream()
			.filter((result) -> result.item().kind().tier() == Tier.URGENT)
			.filter((result) -> result.reason().startsWith("overloaded"))
			.forEach((result) -> this.broken.add(result.item().tag() + " of the top tier was shed"));
	}

	private static String name(WorkItem item) {
		return (item.kind().isGenerated()) ? item.tag() : item.key();
	}

}
