package org.sardineport.core.relay;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against heads of many short fields, which take far more memory than their bytes.
 */
class HeadCostTests {

	@Test
	void shortFieldsCostMoreThanTheirBytes() {
		assertThat(HeadCost.of(64_000, 16_000)).isGreaterThan(10 * 64_000);
	}

	@Test
	void headOfAnOrdinaryRequestIsNotCounted() {
		assertThat(HeadCost.of(1500, 20)).isZero();
	}

	@Test
	void oneLongFieldCostsItsBytes() {
		assertThat(HeadCost.of(60_000, 1)).isBetween(60_000L, 61_000L);
	}

}
