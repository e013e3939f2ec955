package org.sardineport.bench.slope;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.sardineport.core.admission.Permit;
import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.admission.RunMeasurement;
import org.sardineport.core.scheduling.SchedulingMessage;

/**
 * Costs of entry and owner.
 */
final class SchedulingSlopes {

	private static final String REQUESTS = "requests";

	private static final int POOL = 16;

	private static final int DAEMONS = 4;

	private static final RunMeasurement MEASUREMENT = new RunMeasurement(RunEnd.COMPLETED, 400, 0, 200,
			Duration.ofMillis(150), Duration.ofSeconds(4));

	private SchedulingSlopes() {
	}

	static List<SlopeProbe> probes() {
		List<Integer> many = List.of(2_000, 6_000, 10_000);
		return List.of(
				new SlopeProbe("entry-own-permit-time", Role.ENTRY, REQUESTS, CostUnit.PROCESSOR_NANOSECONDS, many,
						SchedulingSlopes::ownPermitTime),
				new SlopeProbe("entry-waiting-memory", Role.ENTRY, "waiting requests", CostUnit.HEAP_BYTES, many,
						SchedulingSlopes::waitingMemory),
				new SlopeProbe("entry-known-server-memory", Role.ENTRY, "known backend servers", CostUnit.HEAP_BYTES,
						List.of(500, 1_000, 2_000), SchedulingSlopes::knownServerMemory),
				new SlopeProbe("owner-spilled-permit-bytes", Role.OWNER, REQUESTS, CostUnit.WIRE_BYTES,
						List.of(200, 400, 800), SchedulingSlopes::spilledBytes),
				new SlopeProbe("owner-spilled-permit-time", Role.OWNER, REQUESTS, CostUnit.PROCESSOR_NANOSECONDS, many,
						SchedulingSlopes::spilledTime));
	}

	private static double ownPermitTime(int requests, long seed) {
		ScheduledDaemons daemons = ScheduledDaemons.create(1, POOL, seed);
		return ProcessorMeter.processorNanos(() -> run(daemons, requests));
	}

	private static void run(ScheduledDaemons daemons, int requests) {
		for (int i = 0; i < requests; i++) {
			Permit permit = daemons.submit(0);
			daemons.advance(Duration.ofMillis(1));
			daemons.release(0, permit, MEASUREMENT);
		}
	}

	private static double waitingMemory(int requests, long seed) {
		ScheduledDaemons daemons = ScheduledDaemons.create(2, POOL, seed);
		daemons.submitWithoutAnswers(1);
		return HeapMeter.retainedBytes(() -> {
			daemons.submitWithoutAnswers(requests);
			return daemons;
		});
	}

	private static double knownServerMemory(int servers, long seed) {
		return HeapMeter.retainedBytes(() -> ScheduledDaemons.create(DAEMONS, servers, seed)) / DAEMONS;
	}

	private static double spilledBytes(int requests, long seed) {
		ScheduledDaemons daemons = ScheduledDaemons.create(2, POOL, seed);
		List<SchedulingMessage> messages = new ArrayList<>();
		daemons.listenToMessages(messages::add);
		run(daemons, requests);
		FrameMeter meter = new FrameMeter();
		return messages.stream().mapToDouble(meter::bytes).sum();
	}

	private static double spilledTime(int requests, long seed) {
		ScheduledDaemons daemons = ScheduledDaemons.create(2, POOL, seed);
		return ProcessorMeter.processorNanos(() -> run(daemons, requests));
	}

}
