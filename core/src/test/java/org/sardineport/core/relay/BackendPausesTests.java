package org.sardineport.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.BackendProcess;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;

import static org.assertj.core.api.Assertions.assertThat;

class BackendPausesTests {

	private Instant now = Instant.EPOCH;

	private final BackendPauses pauses = BackendPauses.create(() -> this.now);

	private static BackendServer server(String name, long startedAt) {
		return new BackendServer(BackendServerId.of(name), BackendKind.PLAIN_SERVICE, RelayFixture.POOL,
				FailureDomain.of("zone"), NetworkAddress.of("10.0.0.1", 80), 1, Instant.ofEpochMilli(startedAt));
	}

	private static BackendProcess process(String name, long startedAt) {
		return server(name, startedAt).process();
	}

	@Test
	void pauseEndsAfterItsTime() {
		assertThat(this.pauses.record(process("one", 1), Duration.ofMillis(1500))).isTrue();
		this.now = this.now.plusMillis(1499);
		assertThat(this.pauses.isPaused(process("one", 1))).isTrue();
		this.now = this.now.plusMillis(1);
		assertThat(this.pauses.isPaused(process("one", 1))).isFalse();
		assertThat(this.pauses.isAnyPaused()).isFalse();
	}

	@Test
	void laterAndShorterPauseDoesNotEndTheFormerOne() {
		this.pauses.record(process("one", 1), Duration.ofSeconds(4));
		assertThat(this.pauses.record(process("one", 1), Duration.ofSeconds(1))).isFalse();
		this.now = this.now.plusSeconds(3);
		assertThat(this.pauses.isPaused(process("one", 1))).isTrue();
	}

	@Test
	void nextProcessIsNotPaused() {
		this.pauses.record(process("one", 1), Duration.ofSeconds(4));
		assertThat(this.pauses.isPaused(process("one", 2))).isFalse();
	}

	@Test
	void absurdPauseIsLimited() {
		this.pauses.record(process("one", 1), Duration.ofDays(100_000));
		this.now = this.now.plus(BackendPauses.MAX_PAUSE);
		assertThat(this.pauses.isPaused(process("one", 1))).isFalse();
	}

	@Test
	void poolWaitsForItsFirstServer() {
		List<BackendServer> pool = List.of(server("one", 1), server("two", 1));
		this.pauses.record(process("one", 1), Duration.ofSeconds(4));
		assertThat(this.pauses.untilFirst(pool)).isZero();
		assertThat(this.pauses.among(pool)).containsExactly(BackendServerId.of("one"));
		this.pauses.record(process("two", 1), Duration.ofSeconds(2));
		assertThat(this.pauses.untilFirst(pool)).isEqualTo(Duration.ofSeconds(2));
	}

}
