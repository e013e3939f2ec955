package org.sardineport.core.configuration;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TailSearchTests {

	@Test
	void movesBackInGrowingSteps() {
		TailSearch search = TailSearch.before(10_000);
		assertThat(search.next()).isEqualTo(10_000 - TailSearch.FIRST_WINDOW);
		assertThat(search.next()).isEqualTo(10_000 - TailSearch.FIRST_WINDOW * TailSearch.WINDOW_FACTOR);
		assertThat(search.next()).isZero();
		assertThat(search.next()).isZero();
	}

	@Test
	void startsAtZeroForShortStreams() {
		assertThat(TailSearch.before(0).next()).isZero();
		assertThat(TailSearch.before(TailSearch.FIRST_WINDOW).next()).isZero();
	}

	@Test
	void doesNotOverflowForLongestStream() {
		TailSearch search = TailSearch.before(Long.MAX_VALUE);
		long start = search.next();
		for (int i = 0; i < 100; i++) {
			long next = search.next();
			assertThat(next).isBetween(0L, start);
			start = next;
		}
	}

}
