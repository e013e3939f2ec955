package org.sardineport.core.overload;

import java.time.Duration;
import java.time.Instant;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load pattern: a daemon that is overloaded and recovers several times a second.
 */
class TransitionLimitTests {

	private Instant now = Instant.EPOCH;

	private final TransitionLimit limit = TransitionLimit.create(() -> this.now);

	@Test
	void beginAndEndAreReportedWithDuration() {
		assertThat(this.limit.record(false)).isEmpty();
		assertThat(this.limit.record(true)).contains(new StateTransition(true, 0, Duration.ZERO));
		assertThat(this.limit.record(true)).isEmpty();
		this.now = this.now.plusSeconds(3);
		assertThat(this.limit.record(false)).contains(new StateTransition(false, 0, Duration.ofSeconds(3)));
	}

	// Guards against a log that is filled by a state that flaps.
	@Test
	void furtherChangesAreCountedUntilTheIntervalHasPassed() {
		this.limit.record(true);
		this.limit.record(false);
		for (int i = 0; i < 4; i++) {
			assertThat(this.limit.record(true)).isEmpty();
			assertThat(this.limit.record(false)).isEmpty();
		}
		this.now = this.now.plus(TransitionLimit.INTERVAL);
		assertThat(this.limit.record(true)).contains(new StateTransition(true, 4, Duration.ZERO));
	}

}
