package org.sardineport.core.relay;

import java.time.Duration;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against refused callers that all retry at the same moment or within the burst
 * that caused their refusal.
 */
class RetryDelaysTests {

	private final RetryDelays times = RetryDelays.create(new SplittableRandom(1));

	@Test
	void delaysAreSpreadAndLeaveTimeForTheResponse() {
		int[] perSecond = new int[6];
		for (int i = 0; i < 1000; i++) {
			Duration delay = this.times.afterOverload(Duration.ofSeconds(15));
			assertThat(delay).isBetween(Duration.ofMillis(2500), Duration.ofSeconds(5));
			perSecond[(int) delay.toSeconds()]++;
		}
		assertThat(perSecond[3]).isBetween(300, 500);
		assertThat(perSecond[4]).isBetween(300, 500);
	}

	@Test
	void shortRemainingTimeGivesShortDelay() {
		assertThat(this.times.afterOverload(Duration.ofMillis(900))).isBetween(Duration.ofMillis(150),
				Duration.ofMillis(300));
		assertThat(this.times.afterOverload(Duration.ZERO)).isPositive();
	}

}
