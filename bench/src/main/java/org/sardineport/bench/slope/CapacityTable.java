package org.sardineport.bench.slope;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * What the slopes come to at the size that the system is designed for.
 */
final class CapacityTable {

	/** Requests a second that one daemon holds at the peak. */
	private static final double REQUESTS = (double) FleetSize.REQUESTS_PER_SECOND / FleetSize.DAEMONS;

	/** Share of the requests whose permit comes from another daemon. */
	private static final double SPILLED_SHARE = 0.1;

	/** Seconds that a request waits for its permit at the peak. */
	private static final double WAIT_SECONDS = 1;

	/** Share of the requests that go through the journal. */
	private static final double KEYED_SHARE = 0.01;

	/** Seconds for which keys are remembered. */
	private static final double REPLAY_WINDOW_SECONDS = 3_600;

	/** Profiles in force, one for each organisation. */
	private static final double PROFILES = FleetSize.ORGANISATIONS;

	private static final double CHANGES = (double) FleetSize.CHANGES_PER_DAY / FleetSize.SECONDS_PER_DAY;

	/** Backend servers that one daemon owns. */
	private static final double OWNED_SERVERS = (double) FleetSize.BACKEND_SERVERS / FleetSize.DAEMONS;

	private final Map<String, SlopeResult> results;

	private CapacityTable(Map<String, SlopeResult> results) {
		this.results = results;
	}

	/**
	 * Multiplies the slopes.
	 * @param results what was measured, by the name of its probe
	 * @return a row for each slope
	 */
	static List<CapacityRow> of(Map<String, SlopeResult> results) {
		CapacityTable table = new CapacityTable(results);
		double keyed = FleetSize.REQUESTS_PER_SECOND * KEYED_SHARE;
		List<CapacityRow> rows = List.of(table.row("entry-own-permit-time", REQUESTS, "requests/s a daemon"),
				table.row("entry-waiting-memory", REQUESTS * WAIT_SECONDS, "requests that wait a second each"),
				table.row("entry-known-server-memory", FleetSize.BACKEND_SERVERS, "backend servers, all known"),
				table.row("owner-spilled-permit-bytes", 2 * REQUESTS * SPILLED_SHARE,
						"requests/s a daemon, one in ten spilled, sent and received"),
				table.row("owner-spilled-permit-time", REQUESTS * SPILLED_SHARE, "requests/s spilled"),
				table.row("member-memory", FleetSize.DAEMONS / (double) FleetSize.REGIONS, "daemons of a region"),
				table.row("member-probe-bytes", 1, "second"), table.row("member-probe-time", 1, "second"),
				table.row("profile-memory", PROFILES, "profiles, one an organisation"),
				table.row("change-time", CHANGES, "changes/s"), table.row("change-spread-bytes", CHANGES, "changes/s"),
				table.row("key-memory", keyed * REPLAY_WINDOW_SECONDS, "keys of an hour, one request in a hundred"),
				table.row("key-replay-time", keyed, "keyed requests/s of the fleet"),
				table.row("key-log-bytes", keyed, "keyed requests/s of the fleet"),
				table.row("vm-list-bytes", FleetSize.BACKEND_SERVERS, "backend servers in one list a second"),
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

	private CapacityRow row(String name, double times, String what) {
		SlopeResult result = this.results.get(name);
		if (result == null) {
			throw new IllegalArgumentException("no slope named " + name);
		}
		SlopeProbe probe = result.probe();
		double slope = result.fit().slope();
		String multiplication = String.format(Locale.ROOT, "%.1f x %.2f %s", slope, times, what);
		return new CapacityRow(probe.role(), probe.costUnit(), name, multiplication, slope * times,
				budget(probe.costUnit()));
	}

	private static double budget(CostUnit unit) {
		return switch (unit) {
			case HEAP_BYTES -> FleetSize.MEMORY_BUDGET;
			case WIRE_BYTES -> FleetSize.NETWORK_BUDGET;
			case PROCESSOR_NANOSECONDS -> FleetSize.PROCESSOR_BUDGET;
		};
	}

}
