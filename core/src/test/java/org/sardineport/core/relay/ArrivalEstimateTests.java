package org.sardineport.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load pattern: a daemon that is short of processor time reads requests long after they
 * have arrived.
 */
class ArrivalEstimateTests {

	private Instant now = Instant.EPOCH;

	private final ArrivalEstimate estimate = ArrivalEstimate.create(() -> this.now);

	private void pass(Duration time) {
		this.now = this.now.plus(time);
	}

	@Test
	void requestArrivesWhenItIsReadIfTheEventLoopIsInTime() {
		for (int i = 0; i < 10; i++) {
			pass(ArrivalEstimate.TICK);
			assertThat(this.estimate.arrival()).isEqualTo(this.now);
			this.estimate.ticked(ArrivalEstimate.TICK);
		}
	}

	// A request was sent on a second after its caller's time limit: the limit was counted
	// from when the request was read.
	@Test
	void requestMayHaveWaitedSinceTheEventLoopFellBehind() {
		this.estimate.ticked(ArrivalEstimate.TICK);
		Instant behindSince = this.now.plus(ArrivalEstimate.TICK);
		pass(Duration.ofMillis(900));
		assertThat(this.estimate.arrival()).isEqualTo(behindSince);
		this.estimate.ticked(ArrivalEstimate.TICK);
		assertThat(this.estimate.arrival()).isEqualTo(this.now);
	}

	// Without connections the event loop is not woken 20 times a second; a request of a
	// new connection must not count as late for that.
	@Test
	void requestAfterAnIdleTimeIsNotLateBeforeTheNextTickIsOverdue() {
		InstantSource clock = () -> this.now;
		ArrivalEstimate idle = ArrivalEstimate.create(clock);
		idle.ticked(Duration.ofSeconds(1));
		Instant due = this.now.plusSeconds(1);
		this.now = due;
		assertThat(idle.arrival()).isEqualTo(this.now);
		this.now = due.plusMillis(300);
		assertThat(idle.arrival()).isEqualTo(due);
	}

}
