package org.sardineport.core.request;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TokenEstimateTests {

	/**
	 * Guards against a request that states huge sizes and is charged a negative amount.
	 */
	@Test
	void sumOfHugeCountsIsNotNegative() {
		assertThat(TokenEstimate.of(Integer.MAX_VALUE, 1).total()).isEqualTo(TokenEstimate.MAX_TOTAL);
		assertThat(TokenEstimate.of(1_460, 80).total()).isEqualTo(1_540);
	}

}
