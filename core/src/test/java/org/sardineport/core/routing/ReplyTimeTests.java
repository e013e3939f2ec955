package org.sardineport.core.routing;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ReplyTimeTests {

	private final ReplyTime replies = ReplyTime.create();

	@Test
	void nothingIsExpectedBeforeTheFirstReply() {
		assertThat(this.replies.expectedMillis(0)).isZero();
		assertThat(this.replies.timeoutMillis()).isZero();
		assertThat(this.replies.requestShare(0)).isEqualTo(1);
	}

	@Test
	void learnsHowLongRepliesTake() {
		for (int i = 0; i < 50; i++) {
			this.replies.replied(80 + 10 * (i % 2), i * 100);
		}
		assertThat(this.replies.expectedMillis(4900)).isBetween(80.0, 90.0);
		assertThat(this.replies.timeoutMillis()).isBetween(90L, 130L);
	}

	// Without this an owner that was late once would never be asked again.
	@Test
	void expectsLessOfADaemonThatWasNotAskedForAWhile() {
		this.replies.replied(400, 0);
		assertThat(this.replies.expectedMillis(3000)).isEqualTo(50);
	}

	@Test
	void aSingleLostMessageWithholdsLittle() {
		this.replies.replied(5, 0);
		this.replies.replied(5, 0);
		this.replies.missed(300, 0);
		assertThat(this.replies.requestShare(0)).isGreaterThan(0.85);
	}

	@Test
	void mostRequestsAreWithheldWhileNoneIsAnswered() {
		for (int i = 0; i < 20; i++) {
			this.replies.missed(300, i * 50);
		}
		assertThat(this.replies.requestShare(1000)).isBetween(0.05, 0.25);
		assertThat(this.replies.requestShare(20_000)).isGreaterThan(0.9);
	}

	@Test
	void silentDaemonIsAskedAgainAfterLongerAndLongerTimes() {
		this.replies.asked(0);
		assertThat(this.replies.isAwaited(50)).isFalse();
		assertThat(this.replies.isAwaited(400)).isTrue();
		assertThat(this.replies.isAwaited(1000)).isFalse();
		this.replies.asked(1000);
		assertThat(this.replies.isAwaited(2900)).isTrue();
		assertThat(this.replies.isAwaited(3000)).isFalse();
	}

	@Test
	void anyMessageEndsTheSilence() {
		this.replies.asked(0);
		this.replies.heard(300);
		assertThat(this.replies.isAwaited(700)).isFalse();
		assertThat(this.replies.isHeardSince(300)).isTrue();
		assertThat(this.replies.isHeardSince(301)).isFalse();
	}

}
