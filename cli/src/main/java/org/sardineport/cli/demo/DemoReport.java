package org.sardineport.cli.demo;

import java.util.List;
import java.util.stream.Stream;

import org.sardineport.cli.Console;
import org.sardineport.core.request.Tier;
import org.sardineport.standins.engine.ModelEngineStandIn;

/**
 * Results of the demonstration.
 *
 * @param tiers results of each tier
 * @param prefillTokens number of prompt tokens that the engines processed
 * @param wastedPrefillTokens number of those whose responses were not completed
 * @param wastedPrefillPercent wasted prompt tokens in percent of the processed ones
 * @param stopMillis duration of the planned stop in milliseconds
 * @param broken descriptions of the violated promises
 */
record DemoReport(List<TierReport> tiers, long prefillTokens, long wastedPrefillTokens, double wastedPrefillPercent,
		long stopMillis, List<String> broken) {

	private static final double PERCENT = 100;

	private static final int MAX_SHOWN_VIOLATIONS = 20;

	static DemoReport of(List<CallResult> results, List<ModelEngineStandIn> engines, long stopMillis,
			List<String> broken) {
		List<TierReport> tiers = Stream.of(Tier.values())
			.map((tier) -> TierReport.of(tier.label(),
					results.stream().filter((result) -> result.item().kind().tier() == tier).toList()))
			.toList();
		long prefill = engines.stream().mapToLong((engine) -> engine.counters().prefillTokens()).sum();
		long wasted = engines.stream().mapToLong((engine) -> engine.counters().wastedPrefillTokens()).sum();
		return new DemoReport(tiers, prefill, wasted, (prefill > 0) ? PERCENT * wasted / prefill : 0, stopMillis,
				broken);
	}

	void write(Console console) {
		this.tiers.forEach((tier) -> console.line(tier.line()));
		console.line("prefill tokens=%d wasted=%d (%.2f%%)".formatted(this.prefillTokens, this.wastedPrefillTokens,
				this.wastedPrefillPercent));
		console.line("planned stop of one daemon took %d ms".formatted(this.stopMillis));
		this.broken.stream().limit(MAX_SHOWN_VIOLATIONS).forEach((line) -> console.line("BROKEN: " + line));
		console
			.line((this.broken.isEmpty()) ? "all promises held" : "%d promises broken".formatted(this.broken.size()));
	}

}
