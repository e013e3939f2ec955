package org.sardineport.core.overload;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load pattern: requests that lie in the socket of a late daemon after their callers gave
 * up.
 */
class UnreadTimeoutTests {

	@Test
	void callersGiveUpAfterAThirdOfAShortTimeLimit() {
		assertThat(UnreadTimeout.of(Duration.ofMillis(900))).hasMillis(300);
	}

	@Test
	void callersGiveUpAfterASecondOfALongTimeLimit() {
		assertThat(UnreadTimeout.of(Duration.ofSeconds(30))).hasSeconds(1);
	}

	@Test
	void requestReadInTimeIsNotGivenUp() {
		assertThat(UnreadTimeout.mayHavePassed(Duration.ZERO, null)).isFalse();
		assertThat(UnreadTimeout.mayHavePassed(Duration.ofMillis(299), Duration.ofMillis(900))).isFalse();
		assertThat(UnreadTimeout.mayHavePassed(Duration.ofMillis(999), null)).isFalse();
	}

	// A late daemon parsed and sent on requests whose callers had left.
	@Test
	void requestReadLateMayBeGivenUp() {
		assertThat(UnreadTimeout.mayHavePassed(Duration.ofMillis(300), Duration.ofMillis(900))).isTrue();
		assertThat(UnreadTimeout.mayHavePassed(Duration.ofSeconds(1), null)).isTrue();
		assertThat(UnreadTimeout.mayHavePassed(Duration.ofSeconds(1), Duration.ofSeconds(30))).isTrue();
	}

}
