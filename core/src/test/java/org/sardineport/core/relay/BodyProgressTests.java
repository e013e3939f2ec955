package org.sardineport.core.relay;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against callers that stop within a body, or send a byte now and then, and
 * against time limits that a caller on a slow link reaches.
 */
class BodyProgressTests {

	private static final int SECOND = 1000;

	private static final int SLOW_LINK_BYTES_PER_SECOND = 10_000;

	private final BodyProgress progress = BodyProgress.begin(ProgressLimit.DEFAULT, 0);

	@Test
	void callerOnASlowLinkIsNotTooSlow() {
		for (int second = 1; second < 600; second++) {
			this.progress.received(second * SECOND, (long) second * SLOW_LINK_BYTES_PER_SECOND);
			assertThat(this.progress.isTooSlow(second * SECOND)).isFalse();
		}
	}

	@Test
	void bodyThatStopsIsTooSlowAfterTheWindow() {
		this.progress.received(SECOND, 999_999);
		assertThat(this.progress.isTooSlow(30 * SECOND)).isFalse();
		assertThat(this.progress.isTooSlow(31 * SECOND + 1)).isTrue();
		assertThat(this.progress.stalledFor(5 * SECOND)).isEqualTo(Duration.ofSeconds(4));
	}

	@Test
	void byteNowAndThenIsTooSlow() {
		for (int second = 1; second <= 31; second++) {
			this.progress.received(second * SECOND, second);
		}
		assertThat(this.progress.isTooSlow(31 * SECOND)).isTrue();
	}

	@Test
	void timeInWhichTheDaemonDoesNotReadIsNotCounted() {
		this.progress.received(SECOND, 100);
		this.progress.restart(25 * SECOND);
		assertThat(this.progress.isTooSlow(50 * SECOND)).isFalse();
		assertThat(this.progress.stalledFor(26 * SECOND)).isEqualTo(Duration.ofSeconds(1));
	}

}
