package org.sardineport.bench.slope;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import org.sardineport.bench.Measurement;

/**
 * Measures all marginal costs and extrapolates them to the scale that the system is
 * designed for.
 */
@Command(name = "slopes", description = "Measures what each role costs, and holds it against a daemon's budget")
public final class SlopeCommand implements Measurement {

	private static final int RUNS = 3;

	private static final long FIRST_SEED = 1;

	@Option(name = "--output", description = "Folder for slopes.csv, capacity.csv and the plots")
	private String output = "bench/target/slopes";

	@Override
	public boolean run() throws IOException {
		Path directory = Files.createDirectories(Path.of(this.output));
		Map<String, SlopeResult> results = new LinkedHashMap<>();
		for (SlopeProbe probe : SlopeProbes.all()) {
			SlopeResult result = measure(probe);
			results.put(probe.name(), result);
			SlopePlot.write(result, directory);
			System.out.println(row(result));
		}
		Files.write(directory.resolve("slopes.csv"), csv(results));
		List<CapacityRow> rows = CapacityTable.of(results);
		List<String> lines = new ArrayList<>(List.of(CapacityRow.CSV_HEADER));
		rows.stream().map(CapacityRow::csv).forEach(lines::add);
		Files.write(directory.resolve("capacity.csv"), lines);
		rows.forEach(System.out::println);
		return rows.stream().allMatch(CapacityRow::isWithinBudget);
	}

	private static SlopeResult measure(SlopeProbe probe) {
		List<Map<Integer, Double>> runs = new ArrayList<>();
		for (int run = 0; run < RUNS; run++) {
			Map<Integer, Double> costs = new LinkedHashMap<>();
			for (int size : probe.sizes()) {
				costs.put(size, probe.cost().measure(size, FIRST_SEED + run));
			}
			runs.add(costs);
		}
		return SlopeResult.of(probe, runs);
	}

	private static String row(SlopeResult result) {
		SlopeProbe probe = result.probe();
		SlopeFit fit = result.fit();
		return String.format(Locale.ROOT, "%-22s %-34s %12.1f %s per one of %s (runs %.1f to %.1f)",
				probe.role().label(), probe.name(), fit.slope(), probe.costUnit().label(), probe.sizeUnit(),
				fit.lowest(), fit.highest());
	}

	private static List<String> csv(Map<String, SlopeResult> results) {
		List<String> lines = new ArrayList<>(List.of("role,probe,size_unit,cost_unit,run,size,cost"));
		for (SlopeResult result : results.values()) {
			SlopeProbe probe = result.probe();
			int run = 1;
			for (Map<Integer, Double> costs : result.runs()) {
				String prefix = String.join(",", probe.role().label(), probe.name(), probe.sizeUnit(),
						probe.costUnit().label(), String.valueOf(run++));
				costs.forEach((size, cost) -> lines.add("%s,%d,%s".formatted(prefix, size, cost)));
			}
		}
		return lines;
	}

}
