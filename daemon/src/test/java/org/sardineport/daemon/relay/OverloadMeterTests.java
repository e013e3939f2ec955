package org.sardineport.daemon.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.sardineport.core.relay.ArrivalEstimate;
import org.sardineport.core.request.Tier;
import org.sardineport.daemon.telemetry.Telemetry;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load patterns: an event loop or a scheduling thread that is late for seconds, and one
 * that catches up on its timers in one turn.
 */
class OverloadMeterTests {

	private final Telemetry telemetry = Telemetry.create();

	private Instant now = Instant.EPOCH;

	private final OverloadMeter meter = OverloadMeter.create(() -> this.now, new SplittableRandom(1), this.telemetry);

	private void tick(Duration late) {
		this.now = this.now.plus(ArrivalEstimate.TICK).plus(late);
		this.meter.ticked();
	}

	private double gauge(String name) {
		return ((Number) this.telemetry.registry().getGauges().get(name).getValue()).doubleValue();
	}

	@Test
	void daemonInTimeIsNotOverloaded() {
		for (int i = 0; i < 20; i++) {
			tick(Duration.ZERO);
		}
		assertThat(gauge("overload.active")).isZero();
		assertThat(gauge("overload.loop-delay-ms")).isZero();
		assertThat(this.telemetry.counter("overload.begun").getCount()).isZero();
	}

	// Guards against a loop that counts as in time, as its timer runs several times in
	// each late turn.
	@Test
	void lateTimerIsOverloadAlsoIfItCatchesUp() {
		for (int i = 0; i < 10; i++) {
			tick(Duration.ofMillis(900));
			this.meter.ticked();
			this.meter.ticked();
		}
		assertThat(gauge("overload.active")).isOne();
		assertThat(gauge("overload.loop-delay-ms")).isGreaterThan(800);
		assertThat(this.telemetry.counter("overload.begun").getCount()).isOne();
		assertThat(this.meter.check(Tier.INTERACTIVE, Duration.ofMillis(100))).isPresent();
	}

	@Test
	void lateSchedulingIsOverloadToo() {
		for (int i = 0; i < 10; i++) {
			this.meter.scheduled(Duration.ofMillis(900));
			this.meter.scheduled(Duration.ofMillis(1));
			tick(Duration.ZERO);
		}
		assertThat(gauge("overload.active")).isOne();
		assertThat(gauge("overload.scheduling-delay-ms")).isGreaterThan(800);
	}

	@Test
	void ageOfRequestsWhenTheyAreReadCounts() {
		for (int i = 0; i < 10; i++) {
			this.meter.requestRead(Duration.ofMillis(900));
			tick(Duration.ZERO);
		}
		assertThat(gauge("overload.loop-delay-ms")).isGreaterThan(800);
	}

}
