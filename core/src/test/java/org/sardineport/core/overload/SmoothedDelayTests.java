package org.sardineport.core.overload;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load patterns: one long pause in a daemon with free processor time, and a daemon that
 * is late in each turn.
 */
class SmoothedDelayTests {

	private final SmoothedDelay delay = SmoothedDelay.create();

	private void record(int count, long millis) {
		for (int i = 0; i < count; i++) {
			this.delay.record(Duration.ofMillis(millis));
		}
	}

	// Guards against refusals because of one pause of the garbage collector.
	@Test
	void singlePauseDoesNotCount() {
		record(5, 0);
		record(1, 3000);
		record(1, 0);
		assertThat(this.delay.value()).isZero();
	}

	@Test
	void lastingDelayIsReached() {
		record(3, 1000);
		assertThat(this.delay.value()).isGreaterThan(Duration.ofMillis(500));
		record(20, 1000);
		assertThat(this.delay.value()).isBetween(Duration.ofMillis(990), Duration.ofMillis(1000));
	}

	@Test
	void delayIsForgottenSoon() {
		record(20, 1000);
		record(9, 0);
		assertThat(this.delay.value()).isLessThan(Duration.ofMillis(50));
	}

	@Test
	void negativeDelayCountsAsZero() {
		record(5, -100);
		assertThat(this.delay.value()).isZero();
	}

}
