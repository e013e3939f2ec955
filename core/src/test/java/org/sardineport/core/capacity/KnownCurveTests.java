package org.sardineport.core.capacity;

import java.util.ArrayList;
import java.util.function.LongToIntFunction;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a learned limit that costs callers much more time than one that is known
 * from the curve of the server, from ten seconds after the start on. Ratios are medians
 * over twelve random loads.
 */
class KnownCurveTests {

	private static final int SEEDS = 12;

	private static final long LEARNING_MILLIS = 10_000;

	private static final long MILLIS = 50_000;

	private static final double A_TENTH_MORE = 1.1;

	private static final ServerCurve FALLS_AT_HALF = (running, now) -> cliff(running, 8, 0.4);

	private double deviation = 0.5;

	private double medianRatio(ServerCurve curve, double arrivalsPerSecond, LongToIntFunction known) {
		double[] ratios = LongStream.rangeClosed(1, SEEDS)
			.mapToDouble((seed) -> callersMillis(curve, arrivalsPerSecond, seed, learned())
					/ callersMillis(curve, arrivalsPerSecond, seed, SimulatedLimit.known(known)))
			.sorted()
			.toArray();
		return (ratios[SEEDS / 2 - 1] + ratios[SEEDS / 2]) / 2;
	}

	private static SimulatedLimit learned() {
		return SimulatedLimit.learned(LearnedCapacity.of(SimulatedServer.SLOTS), new ArrayList<>());
	}

	private double callersMillis(ServerCurve curve, double arrivalsPerSecond, long seed, SimulatedLimit limit) {
		SimulatedServer server = new SimulatedServer(curve, arrivalsPerSecond, seed);
		server.deviation = this.deviation;
		return server.run(limit, LEARNING_MILLIS).resetCounts().run(limit, MILLIS).meanCallersMillis();
	}

	private static double cliff(int running, int slots, double rest) {
		return (running <= slots) ? running : slots * rest;
	}

	@Test
	void flat() {
		assertThat(medianRatio((running, now) -> running, 48, (now) -> 16)).isLessThan(A_TENTH_MORE);
	}

	@Test
	void growsLessThanTheLoad() {
		assertThat(medianRatio((running, now) -> running / (1 + 0.05 * (running - 1)), 32, (now) -> 16))
			.isLessThan(A_TENTH_MORE);
	}

	@Test
	void kneeAtHalf() {
		assertThat(medianRatio((running, now) -> Math.min(running, 8), 32, (now) -> 8)).isLessThan(A_TENTH_MORE);
	}

	@Test
	void fallsAtThreeQuarters() {
		assertThat(medianRatio((running, now) -> cliff(running, 12, 0.5), 38, (now) -> 12)).isLessThan(A_TENTH_MORE);
	}

	@Test
	void stallsForHalfASecond() {
		assertThat(medianRatio((running, now) -> (now % 5000 < 500) ? running / 5.0 : running, 40, (now) -> 16))
			.isLessThan(A_TENTH_MORE);
	}

	@Test
	void slowsDownAndRecovers() {
		assertThat(medianRatio((running, now) -> (now / 10_000 % 2 == 1) ? running / 5.0 : running, 11, (now) -> 16))
			.isLessThan(A_TENTH_MORE);
	}

	// Listed in KNOWN-RED.txt.
	@Test
	@Tag("known-red")
	void fallsAtHalf() {
		assertThat(medianRatio(FALLS_AT_HALF, 24, (now) -> 8)).isLessThan(A_TENTH_MORE);
	}

	// Listed in KNOWN-RED.txt.
	@Test
	@Tag("known-red")
	void fallsAtHalfWithNoisyRuns() {
		this.deviation = 1;
		assertThat(medianRatio(FALLS_AT_HALF, 24, (now) -> 8)).isLessThan(A_TENTH_MORE);
	}

	// Listed in KNOWN-RED.txt.
	@Test
	@Tag("known-red")
	void fallsEarlierForSomeTime() {
		assertThat(medianRatio((running, now) -> cliff(running, drifting(now), 0.4), 18, KnownCurveTests::drifting))
			.isLessThan(A_TENTH_MORE);
	}

	private static int drifting(long now) {
		return (now >= 20_000 && now < 40_000) ? 6 : 12;
	}

	// A limit fixed at the slots costs twelve times as much as the known one.
	@Test
	void isFarBetterThanTheSlotsIfTheServerFallsAtHalf() {
		assertThat(medianRatio(FALLS_AT_HALF, 24, (now) -> 8)).isLessThan(2);
		this.deviation = 1;
		assertThat(medianRatio(FALLS_AT_HALF, 24, (now) -> 8)).isLessThan(3);
	}

}
