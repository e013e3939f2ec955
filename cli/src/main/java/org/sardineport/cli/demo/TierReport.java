package org.sardineport.cli.demo;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

/**
 * Figures of one tier.
 *
 * @param tier its name
 * @param sent requests sent
 * @param good requests with a whole answer on time
 * @param goodputPercent share of good ones in those sent
 * @param p50Millis median time to a whole answer
 * @param p95Millis time within which 95 of 100 whole answers came
 * @param p99Millis time within which 99 of 100 whole answers came
 * @param refusals other endings by reason
 */
record TierReport(String tier, int sent, int good, double goodputPercent, long p50Millis, long p95Millis,
		long p99Millis, Map<String, Integer> refusals) {

	private static final int DIGITS = 3;

	private static final double PERCENT = 100;

	static TierReport of(String tier, List<CallResult> results) {
		Histogram latency = new Histogram(DIGITS);
		Map<String, Integer> refusals = new TreeMap<>();
		int good = 0;
		for (CallResult result : results) {
			if (result.ending() == CallResult.Ending.WHOLE) {
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
