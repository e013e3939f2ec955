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
	void headOfAnOrdinaryRequestCostsAsMuchAsAnOrdinaryRequestMay() {
		assertThat(HeadCost.of(1500, 20)).isBetween(6000L, (long) CallerMemory.ORDINARY_BYTES);
	}

	@Test
	void oneLongFieldCostsItsBytesInEachBuffer() {
		assertThat(HeadCost.of(60_000, 1)).isBetween(240_000L, 241_000L);
	}

	@Test
	void firstByteIsCounted() {
		assertThat(HeadCost.of(1, 1)).isPositive();
	}

}
