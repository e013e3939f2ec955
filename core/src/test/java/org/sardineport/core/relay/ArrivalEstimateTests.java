package org.sardineport.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load pattern: a daemon that is short of processor time reads requests long after they
 * have arrived.
 */
class ArrivalEstimateTests {

	private static final long STEP_MILLIS = 10;

	private Instant now = Instant.EPOCH;

	private final ArrivalEstimate estimate = ArrivalEstimate.create(() -> this.now);

	private boolean isTicking;

	private boolean hasCallers;

	private Instant nextTick = Instant.MAX;

	private Instant nextCheck = Instant.MAX;

	private void pass(Duration time) {
		this.now = this.now.plus(time);
	}

	private void listen() {
		this.estimate.listening();
		startTicks();
		this.nextCheck = this.now.plus(ArrivalEstimate.CHECK);
	}

	private void connect() {
		this.hasCallers = true;
		this.estimate.connected();
		startTicks();
	}

	private void startTicks() {
		if (!this.isTicking) {
			this.isTicking = true;
			this.nextTick = this.now.plus(ArrivalEstimate.TICK);
		}
	}

	/** Runs the event loop in time. */
	private void run(Duration time) {
		Instant end = this.now.plus(time);
		while (this.now.isBefore(end)) {
			pass(Duration.ofMillis(STEP_MILLIS));
			runTimers();
		}
	}

	private void runTimers() {
		if (this.isTicking && !this.now.isBefore(this.nextTick)) {
			this.isTicking = this.estimate.ticked(this.hasCallers);
			this.nextTick = this.now.plus(ArrivalEstimate.TICK);
		}
		if (!this.now.isBefore(this.nextCheck)) {
			this.estimate.checked();
			this.nextCheck = this.now.plus(ArrivalEstimate.CHECK);
		}
	}

	@Test
	void requestArrivesWhenItIsReadIfTheEventLoopIsInTime() {
		listen();
		connect();
		for (int i = 0; i < 10; i++) {
			run(ArrivalEstimate.TICK);
			assertThat(this.estimate.arrival()).isEqualTo(this.now);
		}
	}

	// A request was sent on a second after its caller's time limit: the limit was counted
	// from when the request was read.
	@Test
	void requestMayHaveWaitedSinceTheEventLoopFellBehind() {
		listen();
		connect();
		run(ArrivalEstimate.TICK);
		Instant behindSince = this.now.plus(ArrivalEstimate.TICK);
		pass(Duration.ofMillis(900));
		assertThat(this.estimate.arrival()).isEqualTo(behindSince);
		runTimers();
		assertThat(this.estimate.arrival()).isEqualTo(this.now);
	}

	/**
	 * Guards against the first request after a start, and one of a new connection after
	 * an idle time, that are refused as too old although they were read at once.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void requestIsNeverOldWhileTheEventLoopIsInTime(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		pass(Duration.ofMillis(random.nextInt(5000)));
		listen();
		for (int i = 0; i < 200; i++) {
			run(Duration.ofMillis(STEP_MILLIS * random.nextInt(1, 900)));
			connect();
			assertThat(this.estimate.arrival()).as("first request of connection %d", i).isEqualTo(this.now);
			run(Duration.ofMillis(STEP_MILLIS * random.nextInt(1, 30)));
			assertThat(this.estimate.arrival()).as("next request of connection %d", i).isEqualTo(this.now);
			this.hasCallers = false;
		}
	}

	@Test
	void delayThatBeganBeforeTheFirstConnectionCounts() {
		listen();
		Instant behindSince = this.now.plus(ArrivalEstimate.TICK);
		pass(Duration.ofMillis(900));
		connect();
		assertThat(this.estimate.arrival()).isEqualTo(behindSince);
	}

	// Without connections the event loop is not woken 20 times a second.
	@Test
	void delayAfterALongIdleTimeCountsOnceTheCheckIsOverdue() {
		listen();
		run(ArrivalEstimate.LINGER.multipliedBy(2));
		assertThat(this.isTicking).isFalse();
		Instant checkDue = this.nextCheck;
		this.now = checkDue;
		assertThat(this.estimate.arrival()).isEqualTo(this.now);
		this.now = checkDue.plusMillis(300);
		connect();
		assertThat(this.estimate.arrival()).isEqualTo(checkDue);
		runTimers();
		run(ArrivalEstimate.TICK);
		assertThat(this.estimate.arrival()).isEqualTo(this.now);
	}

}
