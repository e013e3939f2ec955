package org.sardineport.core.capacity;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a lower limit for servers whose throughput grows up to their slots, at
 * whatever load, mix of requests and delays outside the server.
 */
class ServersWithoutKneeTests {

	private static final long MILLIS = 60_000;

	private final LearnedCapacity capacity = LearnedCapacity.of(SimulatedServer.SLOTS);

	private final List<CapacityChange> changes = new ArrayList<>();

	private void assertNeverLowered(SimulatedServer server) {
		server.run(SimulatedLimit.learned(this.capacity, this.changes), MILLIS);
		assertThat(server.completed).isGreaterThan(500);
		assertThat(this.changes).isEmpty();
		assertThat(this.capacity.learned()).isEqualTo(SimulatedServer.SLOTS);
	}

	private static SimulatedServer flat(double arrivalsPerSecond, long seed) {
		return new SimulatedServer((running, now) -> running, arrivalsPerSecond, seed);
	}

	@ParameterizedTest
	@ValueSource(ints = { 20, 48, 64, 76, 100 })
	void keepsTheSlotsAtAnyLoad(int arrivalsPerSecond) {
		assertNeverLowered(flat(arrivalsPerSecond, arrivalsPerSecond));
	}

	@ParameterizedTest
	@ValueSource(ints = { 16, 32, 48, 60 })
	void keepsTheSlotsIfThroughputGrowsLessThanTheLoad(int arrivalsPerSecond) {
		assertNeverLowered(new SimulatedServer((running, now) -> running / (1 + 0.05 * (running - 1)),
				arrivalsPerSecond, arrivalsPerSecond));
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3, 4 })
	void keepsTheSlotsIfSomeRequestsAreVeryLong(int seed) {
		SimulatedServer server = flat(48, seed);
		server.deviation = 1.5;
		assertNeverLowered(server);
	}

	// As for a lossy link, a slow reader or a daemon that is late itself.
	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3, 4 })
	void keepsTheSlotsIfATenthOfTheRunsIsMeasuredLate(int seed) {
		SimulatedServer server = flat(60, seed);
		server.measuredDelay = (random) -> (random.nextDouble() < 0.1) ? 1000 * random.nextDouble() : 0;
		assertNeverLowered(server);
	}

}
