package org.sardineport.bench.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import org.HdrHistogram.Histogram;
import org.sardineport.bench.Measurement;
import org.sardineport.core.membership.MembershipTiming;
import org.sardineport.daemon.fleet.FleetService;
import org.sardineport.settings.MembershipSettings;
import org.sardineport.standins.peer.NetworkConditions;

/**
 * Measures the membership protocol, the movement of ownership and the rolling replacement
 * of daemons.
 */
@Command(name = "fleet", description = "Detection of dead daemons, cost of membership, movement, rolling replacement")
public final class FleetMeasurement implements Measurement {

	private static final double DETECTION_TARGET_SECONDS = 3;

	private static final double BYTES_TARGET = 1024;

	private static final double CORE_TARGET = 0.01;

	private static final double MEMORY_TARGET_BYTES = 64.0 * 1024 * 1024;

	/** Greatest acceptable ratio of the cost per daemon to that in a fleet of 8. */
	private static final double MAXIMUM_GROWTH = 1.1;

	private static final double LOSS = 0.05;

	/** Number of daemons of one region at the design scale: 3,300 in 8 regions. */
	private static final int REGION_DAEMONS = 413;

	private static final int FLEET_DAEMONS = 3_300;

	private static final int BACKEND_SERVERS = 10_000;

	private static final List<String> FAILURE_DOMAINS = List.of("bole", "kaliti", "piassa");

	private static final NetworkConditions NETWORK = new NetworkConditions(0, 0, Duration.ofMillis(1),
			Duration.ofMillis(3));

	private final MembershipTiming timing = FleetService.timing(MembershipSettings.defaults());

	@Option(name = "--kills", title = "COUNT", description = "Daemons to kill at each size; default: 100")
	private int kills = 100;

	@Option(name = "--skip-rolling", description = "Leaves out the rolling replacement")
	private boolean skipRolling;

	@Override
	public boolean run() throws Exception {
		ResultTable table = new ResultTable();
		detection(table);
		falseDeaths(table);
		virtualCost(table);
		for (int members : List.of(8, 32)) {
			RealCost cost = RealCost.measure(members, FAILURE_DOMAINS, Duration.ofSeconds(10));
			table.atMost("real-bytes", members, cost.bytesPerSecond(), "B/s", BYTES_TARGET);
			table.atMost("real-core", members, cost.coreShare(), "core", CORE_TARGET);
		}
		movement(table, 8, 16, FAILURE_DOMAINS);
		movement(table, FLEET_DAEMONS, BACKEND_SERVERS, designFailureDomains());
		if (!this.skipRolling) {
			rolling(table);
		}
		return table.allMet();
	}

	private void detection(ResultTable table) {
		for (int members : List.of(8, 32, 128, REGION_DAEMONS)) {
			int count = (members > 128) ? Math.max(1, this.kills / 20) : this.kills;
			Detection detection = Detection.measure(members, count, FAILURE_DOMAINS, this.timing, NETWORK);
			table.info("killed-not-used-p50", members, seconds(detection.suspected(), 50), "s");
			table.atMost("killed-not-used-max", members, seconds(detection.suspected(), 100), "s",
					DETECTION_TARGET_SECONDS);
			table.info("killed-dead-p50", members, seconds(detection.dead(), 50), "s");
			table.atMost("killed-dead-max", members, seconds(detection.dead(), 100), "s", DETECTION_TARGET_SECONDS);
		}
	}

	private void falseDeaths(ResultTable table) {
		for (int members : List.of(8, 32, 128)) {
			long deaths = Detection.falseDeaths(members, Duration.ofHours(1), FAILURE_DOMAINS, this.timing,
					NETWORK.withLoss(LOSS));
			table.atMost("false-deaths-hour-loss-5%", members, deaths, "deaths", 0);
		}
	}

	private void virtualCost(ResultTable table) {
		double atEight = 0;
		for (int members : List.of(8, 32, 128, REGION_DAEMONS)) {
			VirtualCost cost = VirtualCost.measure(members, FAILURE_DOMAINS, this.timing, NETWORK,
					Duration.ofSeconds(30));
			atEight = (members == 8) ? cost.bytesPerSecond() : atEight;
			print(table, members, cost, atEight);
		}
		print(table, FLEET_DAEMONS,
				VirtualCost.measure(FLEET_DAEMONS, designFailureDomains(), this.timing, NETWORK, Duration.ofSeconds(5)),
				atEight);
	}

	private static void print(ResultTable table, int members, VirtualCost cost, double atEight) {
		table.atMost("virtual-bytes", members, cost.bytesPerSecond(), "B/s", BYTES_TARGET);
		table.atMost("virtual-bytes-growth", members, cost.bytesPerSecond() / atEight, "times", MAXIMUM_GROWTH);
		table.info("virtual-largest-frame", members, cost.largestFrame(), "B");
		table.atMost("virtual-core", members, cost.coreShare(), "core", CORE_TARGET);
		table.atMost("virtual-memory", members, cost.memoryBytes(), "B", MEMORY_TARGET_BYTES);
	}

	private static void movement(ResultTable table, int daemons, int servers, List<String> domains) {
		OwnershipMovement movement = OwnershipMovement.measure(daemons, servers, domains);
		table.info("owned-by-one", daemons, movement.ownedByRemoved(), "backend servers");
		table.atMost("moved-when-it-goes", daemons, movement.moved(), "backend servers", movement.ownedByRemoved());
	}

	private static void rolling(ResultTable table) throws Exception {
		RollingReplacement replacement = RollingReplacement.run();
		table.info("rolling-requests", RollingReplacement.DAEMONS, replacement.completed(), "requests");
		table.info("rolling-seconds", RollingReplacement.DAEMONS, replacement.seconds(), "s");
		table.atMost("rolling-lost", RollingReplacement.DAEMONS, replacement.failures().size(), "requests", 0);
		table.atMost("rolling-run-twice", RollingReplacement.DAEMONS,
				Math.max(0, replacement.dispatched() - replacement.completed()), "requests", 0);
		replacement.failures().stream().limit(10).forEach(System.out::println);
	}

	/**
	 * Returns the failure domains at the design scale.
	 * @return 18 failure domains in 8 regions
	 */
	private static List<String> designFailureDomains() {
		List<String> domains = new ArrayList<>();
		for (int i = 0; i < 18; i++) {
			domains.add("region-%d.domain-%d".formatted(i % 8, i));
		}
		return domains;
	}

	private static double seconds(Histogram histogram, double percentile) {
		return histogram.getValueAtPercentile(percentile) / 1000.0;
	}

}
