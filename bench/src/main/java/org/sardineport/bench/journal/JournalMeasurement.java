package org.sardineport.bench.journal;

import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.ranges.IntegerRange;
import org.HdrHistogram.Histogram;
import org.sardineport.bench.Measurement;

/**
 * Measures the cost of requests with an idempotency key: added latency, rate of appends,
 * replay, memory, and the duration of a takeover.
 */
@Command(name = "journal", description = "Cost of keyed requests: latency, appends, replay, memory, takeover")
public final class JournalMeasurement implements Measurement {

	private static final int DAEMONS = 8;

	private static final int LATENCY_REQUESTS_PER_SECOND = 20;

	private static final Duration ROUND_TRIP = Duration.ofMillis(3);

	private static final int[] RATES = { 10, 100, 1000 };

	private static final int LOG_APPENDS_PER_SECOND = 400;

	private static final int WARM_UP_REQUESTS_PER_SECOND = 200;

	private static final double ADDED_LATENCY_MILLIS = 5;

	private static final double APPENDS_PER_SECOND_TARGET = 300;

	private static final double RECORDS_PER_SECOND_TARGET = 200_000;

	private static final double BYTES_PER_KEY_TARGET = 150;

	private static final double TAKEOVER_TARGET_SECONDS = 5;

	private static final int TAKEOVERS = 3;

	@Option(name = "--seconds", title = "SECONDS", description = "Time of each load; default: 5")
	@IntegerRange(min = 1, max = 600)
	private int seconds = 5;

	@Option(name = "--keys", title = "COUNT", description = "Keys to replay; default: 300000")
	@IntegerRange(min = 1000, max = 10_000_000)
	private int keys = 300_000;

	private boolean allMet = true;

	@Override
	public boolean run() throws Exception {
		System.out.println("measure,value,unit,target,result");
		latency();
		for (int rate : RATES) {
			appends(rate);
		}
		ReplayCost cost = ReplayCost.measure(this.keys);
		atLeast("replay", cost.recordsPerSecond(), "records/s", RECORDS_PER_SECOND_TARGET);
		atMost("memory", cost.bytesPerKey(), "B/key", BYTES_PER_KEY_TARGET);
		takeover();
		return this.allMet;
	}

	private void latency() throws Exception {
		try (JournalFleet fleet = JournalFleet.start(DAEMONS, ROUND_TRIP)) {
			KeyedLoad.run(fleet, WARM_UP_REQUESTS_PER_SECOND, Duration.ofSeconds(2));
			double roundTrip = appendMillis(fleet);
			info("log-round-trip-p50", roundTrip, "ms");
			KeyedLoad load = KeyedLoad.run(fleet, LATENCY_REQUESTS_PER_SECOND, Duration.ofSeconds(this.seconds));
			for (double percentile : new double[] { 50, 95 }) {
				double added = millis(load.keyed(), percentile) - millis(load.unkeyed(), percentile);
				atMost("added-latency-p%.0f".formatted(percentile), added, "ms", 2 * roundTrip + ADDED_LATENCY_MILLIS);
			}
		}
	}

	private double appendMillis(JournalFleet fleet) throws Exception {
		Histogram histogram = new Histogram(3);
		for (int number = 0; number < 100; number++) {
			long start = System.nanoTime();
			fleet.adapter()
				.append("bench.round-trip", new byte[100])
				.toCompletableFuture()
				.get(this.seconds, TimeUnit.SECONDS);
			histogram.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - start));
		}
		return millis(histogram, 50);
	}

	private void appends(int rate) throws Exception {
		try (JournalFleet fleet = JournalFleet.start(DAEMONS, ROUND_TRIP)) {
			fleet.log().faults().appendsPerSecond(LOG_APPENDS_PER_SECOND);
			long before = fleet.log().appends();
			long start = System.nanoTime();
			KeyedLoad load = KeyedLoad.run(fleet, rate, Duration.ofSeconds(this.seconds));
			double elapsed = (System.nanoTime() - start) / 1e9;
			double appends = fleet.log().appends() - before;
			String suffix = "-at-%d-requests-per-second".formatted(rate);
			info("appends-per-request" + suffix, appends / load.keyed().getTotalCount(), "appends");
			info("latency-p50" + suffix, millis(load.keyed(), 50), "ms");
			info("latency-p95" + suffix, millis(load.keyed(), 95), "ms");
			atMost("appends" + suffix, appends / elapsed, "appends/s", APPENDS_PER_SECOND_TARGET);
		}
	}

	private void takeover() throws Exception {
		try (JournalFleet fleet = JournalFleet.start(DAEMONS, ROUND_TRIP)) {
			double longest = 0;
			for (int round = 0; round < TAKEOVERS; round++) {
				longest = Math.max(longest, TakeoverTime.measure(fleet, DAEMONS, round).toMillis() / 1000.0);
			}
			double detection = TakeoverTime.detectionTime().toMillis() / 1000.0;
			info("takeover-from-notice-max", longest, "s");
			info("notice-by-settings", detection, "s");
			atMost("takeover-max", longest + detection, "s", TAKEOVER_TARGET_SECONDS);
		}
	}

	private static double millis(Histogram histogram, double percentile) {
		return histogram.getValueAtPercentile(percentile) / 1000.0;
	}

	private static void info(String measure, double value, String unit) {
		System.out.printf(Locale.ROOT, "%s,%.2f,%s,,%n", measure, value, unit);
	}

	private void atMost(String measure, double value, String unit, double target) {
		report(measure, value, unit, "at most %.2f".formatted(target), value <= target);
	}

	private void atLeast(String measure, double value, String unit, double target) {
		report(measure, value, unit, "at least %.2f".formatted(target), value >= target);
	}

	private void report(String measure, double value, String unit, String target, boolean met) {
		this.allMet &= met;
		System.out.printf(Locale.ROOT, "%s,%.2f,%s,%s,%s%n", measure, value, unit, target, (met) ? "met" : "missed");
	}

}
