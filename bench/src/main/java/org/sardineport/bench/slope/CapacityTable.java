package org.sardineport.bench.slope;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Extrapolates the slopes to the scale that the system is designed for.
 */
final class CapacityTable {

	/** Peak rate of requests that one daemon accepts, per second. */
	private static final double REQUESTS_PER_DAEMON = (double) DesignScale.REQUESTS_PER_SECOND / DesignScale.DAEMONS;

	/** Share of the requests whose permit is granted by another daemon. */
	private static final double SPILLED_SHARE = 0.1;

	/** Time that a request waits for its permit at the peak. */
	private static final double WAIT_SECONDS = 1;

	/** Share of the requests that have an idempotency key and are journaled. */
	private static final double KEYED_SHARE = 0.01;

	/** Time for which idempotency keys are remembered. */
	private static final double REPLAY_WINDOW_SECONDS = 3_600;

	/** Number of profiles in force, one for each organisation. */
	private static final double PROFILES = DesignScale.ORGANISATIONS;

	private static final double CHANGES_PER_SECOND = (double) DesignScale.CHANGES_PER_DAY / DesignScale.SECONDS_PER_DAY;

	/** Mean number of backend servers that one daemon owns. */
	private static final double OWNED_SERVERS = (double) DesignScale.BACKEND_SERVERS / DesignScale.DAEMONS;

	private final Map<String, SlopeResult> results;

	private CapacityTable(Map<String, SlopeResult> results) {
		this.results = results;
	}

	/**
	 * Extrapolates the slopes.
	 * @param results results of the measurements, by the name of the probe
	 * @return a row for each slope, and a total for each unit
	 * @throws IllegalArgumentException if a result is missing
	 */
	static List<CapacityRow> of(Map<String, SlopeResult> results) {
		CapacityTable table = new CapacityTable(results);
		double keyed = DesignScale.REQUESTS_PER_SECOND * KEYED_SHARE;
		List<CapacityRow> rows = List.of(table.row("entry-own-permit-time", REQUESTS_PER_DAEMON, "requests/s a daemon"),
				table.row("entry-waiting-memory", REQUESTS_PER_DAEMON * WAIT_SECONDS,
						"requests that wait a second each"),
				table.row("entry-known-server-memory", DesignScale.BACKEND_SERVERS, "backend servers, all known"),
				table.row("owner-spilled-permit-bytes", 2 * REQUESTS_PER_DAEMON * SPILLED_SHARE,
						"requests/s a daemon, one in ten spilled, sent and received"),
				table.row("owner-spilled-permit-time", REQUESTS_PER_DAEMON * SPILLED_SHARE, "requests/s spilled"),
				table.row("member-memory", DesignScale.DAEMONS / (double) DesignScale.REGIONS, "daemons of a region"),
				table.row("member-probe-bytes", 1, "second"), table.row("member-probe-time", 1, "second"),
				table.row("profile-memory", PROFILES, "profiles, one an organisation"),
				table.row("change-time", CHANGES_PER_SECOND, "changes/s"),
				table.row("change-spread-bytes", CHANGES_PER_SECOND, "changes/s"),
				table.row("key-memory", keyed * REPLAY_WINDOW_SECONDS, "keys of an hour, one request in a hundred"),
				table.row("key-replay-time", keyed, "keyed requests/s of the fleet"),
				table.row("key-log-bytes", keyed, "keyed requests/s of the fleet"),
				table.row("vm-list-bytes", DesignScale.BACKEND_SERVERS, "backend servers in one list a second"),
				table.row("load-report-bytes", OWNED_SERVERS, "backend servers owned, one report a second"));
		return withTotals(rows);
	}

	private static List<CapacityRow> withTotals(List<CapacityRow> rows) {
		List<CapacityRow> all = new ArrayList<>(rows);
		for (CostUnit unit : CostUnit.values()) {
			double sum = rows.stream().filter((row) -> row.unit() == unit).mapToDouble(CapacityRow::result).sum();
			all.add(new CapacityRow(Role.ALL, unit, "all", "sum of the rows above", sum, budget(unit)));
		}
		return all;
	}

	private CapacityRow row(String name, double factor, String factorLabel) {
		SlopeResult result = this.results.get(name);
		if (result == null) {
			throw new IllegalArgumentException("no result for probe " + name);
		}
		SlopeProbe probe = result.probe();
		double slope = result.fit().slope();
		String formula = String.format(Locale.ROOT, "%.1f x %.2f %s", slope, factor, factorLabel);
		return new CapacityRow(probe.role(), probe.costUnit(), name, formula, slope * factor, budget(probe.costUnit()));
	}

	private static double budget(CostUnit unit) {
		return switch (unit) {
			case HEAP_BYTES -> DesignScale.MEMORY_BYTES_BUDGET;
			case WIRE_BYTES -> DesignScale.NETWORK_BYTES_BUDGET;
			case CPU_NANOSECONDS -> DesignScale.CPU_NANOS_BUDGET;
		};
	}

}
