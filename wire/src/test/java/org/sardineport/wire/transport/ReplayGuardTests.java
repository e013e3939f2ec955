package org.sardineport.wire.transport;

import java.time.Duration;
import java.time.Instant;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ReplayGuardTests {

	private static final Instant NOW = Instant.parse("2026-12-03T08:00:00Z");

	private static final Duration TOO_OLD = ReplayGuard.MAX_AGE.plusMillis(1);

	private final ReplayGuard guard = new ReplayGuard();

	@Test
	void acceptsANewFrameOnce() {
		assertThat(this.guard.check("one", 1, 7, NOW, NOW)).isEmpty();
		assertThat(this.guard.check("one", 1, 7, NOW, NOW)).contains(DropReason.REPLAYED);
	}

	@Test
	void dropsFramesBeyondTheMaximumAge() {
		assertThat(this.guard.check("one", 1, 1, NOW.minus(TOO_OLD), NOW)).contains(DropReason.STALE);
		assertThat(this.guard.check("one", 1, 2, NOW.plus(TOO_OLD), NOW)).contains(DropReason.STALE);
	}

	@Test
	void dropsFramesOfAnEarlierIncarnation() {
		assertThat(this.guard.check("one", 2, 0, NOW, NOW)).isEmpty();
		assertThat(this.guard.check("one", 1, 1, NOW, NOW)).contains(DropReason.STALE);
	}

	@Test
	void acceptsTheSameSequenceOfALaterIncarnation() {
		assertThat(this.guard.check("one", 1, 0, NOW, NOW)).isEmpty();
		assertThat(this.guard.check("one", 2, 0, NOW, NOW)).isEmpty();
	}

	@Test
	void acceptsALowerIncarnationAfterTheHigherOneExpires() {
		assertThat(this.guard.check("one", 2, 0, NOW, NOW)).isEmpty();
		Instant later = NOW.plus(ReplayGuard.MAX_AGE.multipliedBy(3));
		assertThat(this.guard.check("one", 1, 0, later, later)).isEmpty();
	}

	@Test
	void dropsAReplayedFrameWithAFutureTimestamp() {
		Instant ahead = NOW.plus(ReplayGuard.MAX_AGE);
		assertThat(this.guard.check("one", 1, 0, ahead, NOW)).isEmpty();
		Instant last = ahead.plus(ReplayGuard.MAX_AGE);
		assertThat(this.guard.check("one", 1, 0, ahead, last)).contains(DropReason.REPLAYED);
	}

	@Test
	void limitsTheNumberOfSenders() {
		for (int i = 0; i <= ReplayGuard.MAX_SENDERS; i++) {
			this.guard.check("daemon-" + i, 1, 0, NOW, NOW);
		}
		assertThat(this.guard.senderCount()).isEqualTo(ReplayGuard.MAX_SENDERS);
		Instant later = NOW.plus(ReplayGuard.MAX_AGE.multipliedBy(3));
		assertThat(this.guard.check("late", 1, 0, later, later)).isEmpty();
		assertThat(this.guard.senderCount()).isEqualTo(1);
	}

}
