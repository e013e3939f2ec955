package org.sardineport.core.journal;

import java.time.Duration;
import java.time.Instant;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class AppendBudgetTests {

	private static final Instant START = Instant.parse("2026-12-03T20:00:00Z");

	private static int countTaken(AppendBudget budget, Instant from, Duration duration) {
		int taken = 0;
		for (long millis = 0; millis < duration.toMillis(); millis++) {
			if (budget.tryTake(from.plusMillis(millis))) {
				taken++;
			}
		}
		return taken;
	}

	@Test
	void allowsRateAndQuarterSecondBurst() {
		AppendBudget budget = AppendBudget.create(40, START);
		assertThat(countTaken(budget, START, Duration.ofSeconds(10))).isBetween(400, 410);
	}

	@Test
	void doesNotAccumulateMoreThanBurstWhileIdle() {
		AppendBudget budget = AppendBudget.create(40, START);
		assertThat(countTaken(budget, START.plusSeconds(3600), Duration.ofSeconds(1))).isBetween(40, 50);
	}

	@Test
	void isScarceBelowHalfOfCapacity() {
		AppendBudget budget = AppendBudget.create(40, START);
		assertThat(budget.isScarce(START)).isFalse();
		countTaken(budget, START, Duration.ofMillis(8));
		assertThat(budget.isScarce(START.plusMillis(8))).isTrue();
	}

}
