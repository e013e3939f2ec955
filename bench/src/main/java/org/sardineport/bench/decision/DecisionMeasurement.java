package org.sardineport.bench.decision;

import java.util.Collection;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import com.github.rvesse.airline.annotations.Command;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;
import org.openjdk.jmh.runner.options.VerboseMode;
import org.openjdk.jmh.util.Statistics;
import org.sardineport.bench.Measurement;

/**
 * Measures the duration of one scheduling decision by pool size. JMH runs without forks,
 * since no process of this project may start another.
 */
@Command(name = "decision", description = "Time to admit and route one request, by pool size")
public final class DecisionMeasurement implements Measurement {

	/** Greatest acceptable median duration of a decision in the smallest pool. */
	private static final double MEDIAN_NANOS_TARGET = 2000;

	private static final int SMALLEST_POOL = 16;

	private static final int LARGEST_POOL = 10_000;

	private static final int ITERATIONS = 5;

	private static final TimeValue ITERATION_TIME = TimeValue.seconds(1);

	@Override
	public boolean run() throws Exception {
		Collection<RunResult> results = new Runner(new OptionsBuilder().include(DecisionBenchmark.class.getName())
			.forks(0)
			.warmupIterations(ITERATIONS)
			.warmupTime(ITERATION_TIME)
			.measurementIterations(ITERATIONS)
			.measurementTime(ITERATION_TIME)
			.verbosity(VerboseMode.SILENT)
			.build()).run();
		Map<Integer, Statistics> byServers = new TreeMap<>();
		for (RunResult result : results) {
			byServers.put(Integer.parseInt(result.getParams().getParam("servers")),
					result.getPrimaryResult().getStatistics());
		}
		System.out.println("servers,p50_ns,p99_ns");
		byServers.forEach((servers, statistics) -> System.out.printf(Locale.ROOT, "%d,%.0f,%.0f%n", servers,
				statistics.getPercentile(50), statistics.getPercentile(99)));
		double smallest = median(byServers, SMALLEST_POOL);
		double growth = median(byServers, LARGEST_POOL) / smallest;
		double logarithmic = Math.log(LARGEST_POOL) / Math.log(SMALLEST_POOL);
		boolean fast = check("median with %d servers, ns".formatted(SMALLEST_POOL), smallest, MEDIAN_NANOS_TARGET);
		return check("growth up to %d servers".formatted(LARGEST_POOL), growth, logarithmic) && fast;
	}

	private static double median(Map<Integer, Statistics> byServers, int servers) {
		Statistics statistics = byServers.get(servers);
		if (statistics == null) {
			throw new IllegalStateException("no result for %d servers".formatted(servers));
		}
		return statistics.getPercentile(50);
	}

	private static boolean check(String name, double value, double bound) {
		boolean met = value <= bound;
		System.out.printf(Locale.ROOT, "%-36s %10.2f <= %-10.2f %s%n", name, value, bound, (met) ? "met" : "MISSED");
		return met;
	}

}
