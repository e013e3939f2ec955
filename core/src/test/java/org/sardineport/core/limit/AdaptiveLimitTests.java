package org.sardineport.core.limit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Guards against a limit that exceeds its bounds or does not follow the measured
 * durations.
 */
class AdaptiveLimitTests {

	private static void observe(AdaptiveLimit limit, int times, double measured) {
		for (int i = 0; i < times; i++) {
			limit.observe(measured, 100);
		}
	}

	@Test
	void fixedLimitIgnoresMeasurements() {
		AdaptiveLimit limit = AdaptiveLimit.fixed(12);
		for (int i = 0; i < 100; i++) {
			limit.observe(1000, 10);
			limit.failed();
		}
		assertThat(limit.limit()).isEqualTo(12);
		assertThat(limit.lowerTierLimit()).isEqualTo(12);
		assertThat(limit.hardLimit()).isEqualTo(12);
	}

	@Test
	void startsAtNominalConcurrencyWithHeadroomAndOverAdmission() {
		AdaptiveLimit limit = AdaptiveLimit.of(20);
		assertThat(limit.limit()).isEqualTo(20);
		assertThat(limit.lowerTierLimit()).isEqualTo(18);
		assertThat(limit.hardLimit()).isEqualTo(25);
	}

	@Test
	void limitFallsWhileRunsAreSlowAndRecovers() {
		AdaptiveLimit limit = AdaptiveLimit.of(20);
		observe(limit, 200, 1000);
		assertThat(limit.limit()).isEqualTo(1);
		observe(limit, 200, 100);
		assertThat(limit.limit()).isEqualTo(20);
	}

	@Test
	void toleratesSlightlySlowRuns() {
		AdaptiveLimit limit = AdaptiveLimit.of(20);
		observe(limit, 200, 140);
		assertThat(limit.limit()).isEqualTo(20);
	}

	@Test
	void limitStaysAtLeastOneAfterRepeatedFailures() {
		AdaptiveLimit limit = AdaptiveLimit.of(1);
		for (int i = 0; i < 10; i++) {
			limit.failed();
		}
		assertThat(limit.lowerTierLimit()).isEqualTo(1);
		assertThat(limit.hardLimit()).isEqualTo(2);
	}

	@Test
	void rejectsNominalConcurrencyBelowOne() {
		assertThatIllegalArgumentException().isThrownBy(() -> AdaptiveLimit.of(0)).withMessageContaining("0");
	}

}
