package org.sardineport.core.overload;

import java.time.Duration;
import java.time.Instant;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load pattern: an event loop whose periodic timer is late, and then runs several times
 * at once to catch up.
 */
class TimerLatenessTests {

	private static final Duration INTERVAL = Duration.ofMillis(50);

	private final TimerLateness lateness = TimerLateness.of(INTERVAL, Instant.EPOCH);

	private static Instant at(long millis) {
		return Instant.EPOCH.plusMillis(millis);
	}

	@Test
	void timerInTimeIsNotLate() {
		assertThat(this.lateness.at(at(50))).isZero();
		assertThat(this.lateness.ran(at(50))).isTrue();
	}

	@Test
	void pauseIsMeasuredOnce() {
		assertThat(this.lateness.at(at(1050))).hasMillis(1000);
		assertThat(this.lateness.ran(at(1050))).isTrue();
		assertThat(this.lateness.at(at(1050))).isZero();
	}

	// Guards against 20 runs in one turn that bring the average of a late loop to zero.
	@Test
	void runsThatCatchUpAreNoMeasurements() {
		this.lateness.ran(at(1050));
		assertThat(this.lateness.ran(at(1051))).isFalse();
		assertThat(this.lateness.ran(at(1052))).isFalse();
	}

}
