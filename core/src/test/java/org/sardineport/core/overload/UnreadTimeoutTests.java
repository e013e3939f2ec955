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

}
