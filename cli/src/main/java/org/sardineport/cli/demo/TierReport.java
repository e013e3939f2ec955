package org.sardineport.cli.demo;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

/**
 * Results of one tier.
 *
 * @param tier name of the tier
 * @param sent number of requests sent
 * @param good number of requests with a complete response before their deadline
 * @param goodputPercent good requests in percent of those sent
 * @param p50Millis median latency of complete responses, in milliseconds
 * @param p95Millis 95th percentile of that latency
 * @param p99Millis 99th percentile of that latency
 * @param refusals number of other outcomes by reason
 */
record TierReport(String tier, int sent, int good, double goodputPercent, long p50Millis, long p95Millis,
		long p99Millis, Map<String, Integer> refusals) {

	private static final int SIGNIFICANT_DIGITS = 3;

	private static final double PERCENT = 100;

	static TierReport of(String tier, List<CallResult> results) {
		Histogram latency = new Histogram(SIGNIFICANT_DIGITS);
		Map<String, Integer> refusals = new TreeMap<>();
		int good = 0;
		for (CallResult result : results) {
			if (result.outcome() == CallResult.Outcome.COMPLETE) {
				latency.recordValue(result.latency().toMillis());
			}
			else {
				refusals.merge(result.reason(), 1, Integer::sum);
			}
			good += (result.isGood()) ? 1 : 0;
		}
		return new TierReport(tier, results.size(), good, (results.isEmpty()) ? 0 : PERCENT * good / results.size(),
				latency.getValueAtPercentile(50), latency.getValueAtPercentile(95), latency.getValueAtPercentile(99),
				refusals);
	}

	String line() {
		return "tier %-12s sent=%-4d good=%-4d goodput=%.1f%% p50=%dms p95=%dms p99=%dms refusals=%s".formatted(
				this.tier, this.sent, this.good, this.goodputPercent, this.p50Millis, this.p95Millis, this.p99Millis,
				this.refusals);
	}

}
