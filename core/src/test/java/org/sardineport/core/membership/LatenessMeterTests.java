package org.sardineport.core.membership;

import java.time.Duration;
import java.time.Instant;

import org.junit.jupiter.api.Test;
import org.sardineport.core.fleet.Member;

import static org.assertj.core.api.Assertions.assertThat;

class LatenessMeterTests {

	private static final Duration TICK = Duration.ofMillis(40);

	private Instant now = Instant.EPOCH;

	private final LatenessMeter meter = new LatenessMeter(Duration.ofMillis(200), this.now);

	private void runFor(Duration time) {
		Instant end = this.now.plus(time);
		while (this.now.isBefore(end)) {
			Instant due = this.now.plus(TICK);
			this.now = due;
			this.meter.ran(this.now, due);
		}
	}

	private void runAfter(Duration gap) {
		Instant due = this.now;
		this.now = this.now.plus(gap);
		this.meter.ran(this.now, due);
	}

	@Test
	void daemonThatRunsInTimeIsNotLate() {
		runFor(Duration.ofSeconds(20));
		this.meter.answered(Duration.ofMillis(30));
		assertThat(this.meter.lateness()).isZero();
	}

	@Test
	void largestDelayCountsInStepsAndIsForgotten() {
		runAfter(Duration.ofMillis(620));
		assertThat(this.meter.lateness()).isEqualTo(Duration.ofMillis(750));
		runFor(LatenessMeter.WINDOW.minus(Duration.ofSeconds(1)));
		assertThat(this.meter.lateness()).isEqualTo(Duration.ofMillis(750));
		runFor(LatenessMeter.WINDOW.multipliedBy(2));
		assertThat(this.meter.lateness()).isZero();
	}

	// A daemon that has nothing to do sleeps longer than the tolerance, which must not
	// count as a delay.
	@Test
	void sleepUntilTheNextTaskIsDueIsNotLate() {
		for (int i = 0; i < 20; i++) {
			Instant due = this.now.plusMillis(400);
			this.now = due.plusMillis(5);
			assertThat(this.meter.ran(this.now, due)).isEqualTo(Duration.ofMillis(10));
		}
		assertThat(this.meter.lateness()).isZero();
	}

	@Test
	void pauseIsEstimatedFromTheDelayOfATaskAndNotLongerThanTheSleep() {
		Instant due = this.now.plusMillis(400);
		this.now = due.plusMillis(150);
		assertThat(this.meter.ran(this.now, due)).isEqualTo(Duration.ofMillis(300));
		due = this.now.plusMillis(100);
		this.now = due.plusMillis(900);
		assertThat(this.meter.ran(this.now, due)).isEqualTo(Duration.ofMillis(1000));
	}

	@Test
	void latenessIsBounded() {
		runAfter(Duration.ofMinutes(1));
		assertThat(this.meter.lateness()).isEqualTo(Member.MAXIMUM_LATENESS);
	}

	// One slow daemon must not make all others seem late.
	@Test
	void singleSlowAnswerDoesNotCount() {
		for (int i = 0; i < 8; i++) {
			this.meter.answered(Duration.ofMillis(10));
		}
		this.meter.answered(Duration.ofSeconds(2));
		assertThat(this.meter.lateness()).isZero();
	}

	@Test
	void slowAnswersOfMostDaemonsCount() {
		for (int i = 0; i < 6; i++) {
			this.meter.answered(Duration.ofMillis(240));
		}
		assertThat(this.meter.lateness()).isEqualTo(Duration.ofMillis(750));
	}

}
