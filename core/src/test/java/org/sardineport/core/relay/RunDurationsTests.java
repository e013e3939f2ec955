package org.sardineport.core.relay;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RunDurationsTests {

	private final RunDurations durations = RunDurations.create();

	private void record(int millis, int times) {
		for (int i = 0; i < times; i++) {
			this.durations.record("route", Duration.ofMillis(millis));
		}
	}

	@Test
	void nothingIsKnownOfARouteWithoutRuns() {
		record(1, 1);
		assertThat(this.durations.estimate("other")).isEmpty();
	}

	@Test
	void fewRunsAreEstimatedByTheLongest() {
		record(5000, 1);
		record(10, 9);
		assertThat(this.durations.estimate("route")).contains(Duration.ofMillis(5000));
	}

	@Test
	void oneOutlierOfManyDoesNotCount() {
		record(5000, 1);
		record(10, 31);
		assertThat(this.durations.estimate("route")).contains(Duration.ofMillis(10));
	}

	@Test
	void formerRunsAreForgotten() {
		record(5000, 100);
		record(10, 32);
		assertThat(this.durations.estimate("route")).contains(Duration.ofMillis(10));
		record(5000, 4);
		assertThat(this.durations.estimate("route")).contains(Duration.ofMillis(5000));
	}

}
