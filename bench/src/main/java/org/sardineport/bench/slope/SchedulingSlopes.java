package org.sardineport.bench.slope;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.sardineport.core.admission.Permit;
import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.admission.RunMeasurement;
import org.sardineport.core.scheduling.SchedulingMessage;

/**
 * Costs of scheduling for the daemon that accepts a request and for the owner of a
 * backend server.
 */
final class SchedulingSlopes {

	private static final String REQUESTS_UNIT = "requests";

	private static final int POOL_SIZE = 16;

	private static final int DAEMONS = 4;

	private static final RunMeasurement MEASUREMENT = new RunMeasurement(RunEnd.COMPLETED, 400, 0, 200,
			Duration.ofMillis(150), Duration.ofSeconds(4));

	private SchedulingSlopes() {
	}

	static List<SlopeProbe> probes() {
		List<Integer> requestCounts = List.of(2_000, 6_000, 10_000);
		return List.of(
				new SlopeProbe("entry-own-permit-time", Role.ENTRY, REQUESTS_UNIT, CostUnit.CPU_NANOSECONDS,
						requestCounts, SchedulingSlopes::ownPermitTime),
				new SlopeProbe("entry-waiting-memory", Role.ENTRY, "waiting requests", CostUnit.HEAP_BYTES,
						requestCounts, SchedulingSlopes::waitingMemory),
				new SlopeProbe("entry-known-server-memory", Role.ENTRY, "known backend servers", CostUnit.HEAP_BYTES,
						List.of(500, 1_000, 2_000), SchedulingSlopes::knownServerMemory),
				new SlopeProbe("owner-spilled-permit-bytes", Role.OWNER, REQUESTS_UNIT, CostUnit.WIRE_BYTES,
						List.of(200, 400, 800), SchedulingSlopes::spilledBytes),
				new SlopeProbe("owner-spilled-permit-time", Role.OWNER, REQUESTS_UNIT, CostUnit.CPU_NANOSECONDS,
						requestCounts, SchedulingSlopes::spilledTime));
	}

	private static double ownPermitTime(int requests, long seed) {
		VirtualSchedulers daemons = VirtualSchedulers.create(1, POOL_SIZE, seed);
		return CpuTimeMeter.cpuNanos(() -> run(daemons, requests));
	}

	private static void run(VirtualSchedulers daemons, int requests) {
		for (int i = 0; i < requests; i++) {
			Permit permit = daemons.submit(0);
			daemons.advance(Duration.ofMillis(1));
			daemons.release(0, permit, MEASUREMENT);
		}
	}

	private static double waitingMemory(int requests, long seed) {
		VirtualSchedulers daemons = VirtualSchedulers.create(2, POOL_SIZE, seed);
		daemons.submitWithoutReplies(1);
		return HeapMeter.retainedBytes(() -> {
			daemons.submitWithoutReplies(requests);
			return daemons;
		});
	}

	private static double knownServerMemory(int servers, long seed) {
		return HeapMeter.retainedBytes(() -> VirtualSchedulers.create(DAEMONS, servers, seed)) / DAEMONS;
	}

	private static double spilledBytes(int requests, long seed) {
		VirtualSchedulers daemons = VirtualSchedulers.create(2, POOL_SIZE, seed);
		List<SchedulingMessage> messages = new ArrayList<>();
		daemons.setMessageListener(messages::add);
		run(daemons, requests);
		FrameMeter meter = new FrameMeter();
		return messages.stream().mapToDouble(meter::bytes).sum();
	}

	private static double spilledTime(int requests, long seed) {
		VirtualSchedulers daemons = VirtualSchedulers.create(2, POOL_SIZE, seed);
		return CpuTimeMeter.cpuNanos(() -> run(daemons, requests));
	}

}
