package org.sardineport.core.relay;

import java.time.Instant;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.sardineport.core.backend.BackendProcess;
import org.sardineport.core.identity.BackendServerId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests how often the ends of streams are confirmed by another run.
 */
class ConfirmedEndsTests {

	private static final BackendProcess PROCESS = process(1);

	private final ConfirmedEnds ends = ConfirmedEnds.create();

	private static BackendProcess process(int number) {
		return new BackendProcess(BackendServerId.of("s"), Instant.ofEpochMilli(number));
	}

	private void trust(BackendProcess process) {
		for (int i = 0; i < ConfirmedEnds.TRUSTED_AFTER; i++) {
			assertThat(this.ends.needsConfirmation(process)).isTrue();
			this.ends.confirmed(process);
		}
	}

	private long confirmationsNeeded(int streams) {
		return IntStream.range(0, streams).filter((i) -> this.ends.needsConfirmation(PROCESS)).count();
	}

	@Test
	void unknownProcessNeedsConfirmations() {
		assertThat(confirmationsNeeded(10)).isEqualTo(10);
	}

	@Test
	void confirmedProcessNeedsFewConfirmations() {
		trust(PROCESS);
		assertThat(confirmationsNeeded(10 * ConfirmedEnds.CONFIRMED_SHARE)).isEqualTo(10);
	}

	@Test
	void refutedProcessNeedsConfirmationsAgain() {
		trust(PROCESS);
		this.ends.refuted(PROCESS);
		assertThat(confirmationsNeeded(5)).isEqualTo(5);
	}

	@Test
	void nextProcessOfAServerIsUnknown() {
		trust(PROCESS);
		assertThat(this.ends.needsConfirmation(process(2))).isTrue();
	}

	@Test
	void forgetsTheProcessThatEndedNoStreamForLongest() {
		for (int i = 1; i <= ConfirmedEnds.MAX_PROCESSES + 1; i++) {
			trust(process(i));
		}
		assertThat(this.ends.needsConfirmation(PROCESS)).isTrue();
		assertThat(this.ends.needsConfirmation(process(ConfirmedEnds.MAX_PROCESSES + 1))).isFalse();
	}

}
