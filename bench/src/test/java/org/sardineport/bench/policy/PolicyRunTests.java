package org.sardineport.bench.policy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PolicyRun}: results are reproducible, and under overload the scheduler
 * keeps the order of tiers while a baseline without tiers misses the goodput target.
 */
class PolicyRunTests {

	@ParameterizedTest
	@EnumSource
	void sameSeedGivesTheSameResult(PolicyKind kind) {
		RunResult first = PolicyRun.run(kind, Site.BAGMATI, LoadCase.BURST_3X, 1);
		RunResult second = PolicyRun.run(kind, Site.BAGMATI, LoadCase.BURST_3X, 1);
		assertThat(first).usingRecursiveComparison().isEqualTo(second);
	}

	@ParameterizedTest
	@EnumSource
	void topTierIsNeverShedWhileLowerTiersRun(LoadCase loadCase) {
		RunResult result = PolicyRun.run(PolicyKind.SARDINEPORT, Site.BAGMATI, loadCase, 4);
		assertThat(result.checkedEvents()).isPositive();
		assertThat(result.tierOrderViolations()).isZero();
		assertThat(result.shedBehindLower()).isZero();
		assertThat(result.goodput(RequestClass.LIVE)).isGreaterThanOrEqualTo(0.99);
		assertThat(result.goodput(RequestClass.LOOKUP)).isGreaterThanOrEqualTo(0.99);
	}

	@Test
	void overloadWithoutTiersWastesPrefill() {
		RunResult result = PolicyRun.run(PolicyKind.TWO_CHOICES, Site.BAGMATI, LoadCase.BURST_3X, 4);
		assertThat(result.wastedPrefill()).isPositive();
		assertThat(result.goodput(RequestClass.LIVE)).isLessThan(0.99);
	}

}
