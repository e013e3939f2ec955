package org.sardineport.core.routing;

import java.time.Duration;
import java.util.SplittableRandom;

import org.assertj.core.data.Percentage;
import org.junit.jupiter.api.Test;
import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.admission.RunMeasurement;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against wrong estimates of a backend server's speed, in particular after a
 * sudden slowdown.
 */
class SpeedModelTests {

	private static final Speed FAST = new Speed(20, 0.1, 8, 0.5);

	private static void observeRuns(SpeedModel model, Speed actual, int runs) {
		SplittableRandom random = new SplittableRandom(1);
		for (int i = 0; i < runs; i++) {
			int prompt = 100 + random.nextInt(3000);
			int backlog = random.nextInt(2000);
			int answer = 10 + random.nextInt(200);
			int running = 1 + random.nextInt(16);
			double first = actual.prefillMillis(prompt + backlog);
			double total = first + actual.decodeMillis(answer - 1, running);
			model.observe(new RunMeasurement(RunEnd.COMPLETED, prompt, 0, answer, millis(first), millis(total)),
					running, backlog);
		}
	}

	private static Duration millis(double millis) {
		return Duration.ofNanos((long) (millis * 1e6));
	}

	@Test
	void estimatesPrefillAndDecodeSpeed() {
		SpeedModel model = SpeedModel.create();
		observeRuns(model, FAST, 100);
		assertThat(model.speed().prefillMillis(2000)).isCloseTo(FAST.prefillMillis(2000), Percentage.withPercentage(2));
		assertThat(model.speed().decodeMillis(100, 1)).isCloseTo(FAST.decodeMillis(100, 1),
				Percentage.withPercentage(2));
		assertThat(model.speed().decodeMillis(100, 16)).isCloseTo(FAST.decodeMillis(100, 16),
				Percentage.withPercentage(2));
	}

	@Test
	void adaptsToTenfoldSlowdownWithinEightRuns() {
		SpeedModel model = SpeedModel.create();
		observeRuns(model, FAST, 100);
		observeRuns(model, FAST.scaledBy(10), 8);
		assertThat(model.speed().decodeMillis(100, 8)).isGreaterThan(FAST.decodeMillis(100, 8) * 5);
	}

	@Test
	void ignoresRunsWithoutPromptTokens() {
		SpeedModel model = SpeedModel.create();
		model.observe(new RunMeasurement(RunEnd.COMPLETED, 0, 0, 0, millis(50), millis(60)), 1, 0);
		assertThat(model.speed()).isEqualTo(Speed.UNKNOWN);
	}

}
