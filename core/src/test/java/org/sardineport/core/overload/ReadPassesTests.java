package org.sardineport.core.overload;

import java.time.Duration;
import java.time.Instant;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load pattern: a daemon that is behind sends requests on whose callers have closed their
 * connections, as it has not read the closes yet.
 */
class ReadPassesTests {

	private Instant now = Instant.EPOCH;

	private final ReadPasses passes = ReadPasses.create(() -> this.now);

	private void pass(Duration time) {
		this.now = this.now.plus(time);
	}

	@Test
	void noPassIsKnownAtFirst() {
		assertThat(this.passes.isRecent(this.passes.turn())).isFalse();
	}

	// The close lies behind the request in the socket, and is read one pass later.
	@Test
	void passThatReadTheRequestDoesNotTellOfAClose() {
		this.passes.turnEnded();
		long readInTurn = this.passes.turn();
		assertThat(this.passes.isRecent(readInTurn)).isFalse();
		this.passes.turnEnded();
		assertThat(this.passes.isRecent(readInTurn)).isTrue();
	}

	// Tasks of a long turn run long after its reads.
	@Test
	void passOfALongTurnIsNotRecentAtItsEnd() {
		long readInTurn = this.passes.turn();
		this.passes.turnEnded();
		pass(ReadPasses.MAX_AGE);
		assertThat(this.passes.isRecent(readInTurn)).isTrue();
		pass(Duration.ofMillis(1));
		assertThat(this.passes.isRecent(readInTurn)).isFalse();
	}

}
