package org.sardineport.bench.slope;

import java.time.Duration;
import java.util.List;

import org.sardineport.core.membership.MembershipTiming;
import org.sardineport.daemon.fleet.FleetService;
import org.sardineport.settings.MembershipSettings;
import org.sardineport.standins.fleet.VirtualFleet;
import org.sardineport.standins.peer.NetworkConditions;

/**
 * Costs of the membership protocol. Daemons of other regions cause none of them, since
 * each region has a membership of its own.
 */
final class MembershipSlopes {

	private static final List<String> FAILURE_DOMAINS = List.of("region-1.domain-1", "region-1.domain-2",
			"region-1.domain-3");

	private static final int DAEMONS = 64;

	private static final Duration SETTLING_TIME = Duration.ofSeconds(30);

	private MembershipSlopes() {
	}

	static List<SlopeProbe> probes() {
		List<Integer> seconds = List.of(30, 60, 120);
		return List.of(
				new SlopeProbe("member-memory", Role.MEMBER, "daemons of the region", CostUnit.HEAP_BYTES,
						List.of(16, 32, 64), MembershipSlopes::memory),
				new SlopeProbe("member-probe-bytes", Role.MEMBER, "seconds", CostUnit.WIRE_BYTES, seconds,
						MembershipSlopes::probeBytes),
				new SlopeProbe("member-probe-time", Role.MEMBER, "seconds", CostUnit.CPU_NANOSECONDS, seconds,
						MembershipSlopes::probeTime));
	}

	private static double memory(int daemons, long seed) {
		double whole = HeapMeter.retainedBytes(() -> settledFleet(daemons, seed));
		return whole / daemons;
	}

	private static double probeBytes(int seconds, long seed) {
		VirtualFleet fleet = settledFleet(DAEMONS, seed);
		FrameMeter meter = new FrameMeter();
		double[] bytes = new double[1];
		fleet.setSendListener((message) -> bytes[0] += 2 * meter.bytes(message));
		fleet.run(Duration.ofSeconds(seconds));
		return bytes[0] / DAEMONS;
	}

	private static double probeTime(int seconds, long seed) {
		VirtualFleet fleet = settledFleet(DAEMONS, seed);
		return CpuTimeMeter.cpuNanos(() -> fleet.run(Duration.ofSeconds(seconds))) / DAEMONS;
	}

	private static VirtualFleet settledFleet(int daemons, long seed) {
		MembershipTiming timing = FleetService.timing(MembershipSettings.defaults());
		VirtualFleet fleet = VirtualFleet.create(daemons, FAILURE_DOMAINS, timing, NetworkConditions.PERFECT, seed);
		fleet.run(SETTLING_TIME);
		return fleet;
	}

}
