package org.sardineport.core.scheduling;

import java.util.ArrayDeque;
import java.util.Deque;

import org.junit.jupiter.api.Test;
import org.sardineport.core.identity.DaemonId;

import static org.assertj.core.api.Assertions.assertThat;

class ReadDelayTests {

	private static final DaemonId SELF = DaemonId.of("self");

	private static final DaemonId OTHER = DaemonId.of("other");

	private final Deque<Long> probes = new ArrayDeque<>();

	private final ReadDelay delay = new ReadDelay(SELF, this.probes::add);

	private long now = 1000;

	private void busy(int intervals, long waitMillis) {
		for (int i = 0; i < intervals; i++) {
			for (int message = 0; message < 10; message++) {
				this.delay.messageRead();
			}
			this.delay.tick(this.now);
			this.now += waitMillis;
			while (!this.probes.isEmpty()) {
				this.delay.onProbe(this.probes.remove(), this.now);
			}
			this.now += Math.max(0, 100 - waitMillis);
		}
	}

	@Test
	void sendsNoProbeWhileFewMessagesCome() {
		this.delay.messageRead();
		this.delay.tick(this.now);
		assertThat(this.probes).isEmpty();
		assertThat(this.delay.isIdle()).isTrue();
	}

	@Test
	void allRequestsAreWantedWhileMessagesAreReadInTime() {
		busy(20, 20);
		assertThat(this.delay.requestShare()).isEqualTo(1);
	}

	// A message that has just arrived must not pass for one that has waited.
	@Test
	void messageMayHaveJustArrivedIfAllProbesWereRead() {
		busy(20, 400);
		assertThat(this.delay.arrivedBy(OTHER, this.now)).isEqualTo(this.now);
	}

	@Test
	void messageThatIsReadBeforeAProbeArrivedBeforeIt() {
		busy(20, 20);
		long probedAt = this.now;
		for (int message = 0; message < 10; message++) {
			this.delay.messageRead();
		}
		this.delay.tick(probedAt);
		assertThat(this.delay.arrivedBy(OTHER, probedAt + 300)).isEqualTo(probedAt);
		assertThat(this.delay.arrivedBy(SELF, probedAt + 300)).isEqualTo(probedAt + 300);
	}

	@Test
	void aShareIsWantedWhileMessagesWait() {
		busy(20, 400);
		assertThat(this.delay.requestShare()).isBetween(0.2, 0.35);
	}

	// A daemon that reads nothing has no measurement.
	@Test
	void aProbeThatIsNotReadTellsTheDelayToo() {
		for (int i = 0; i < 30; i++) {
			this.delay.messageRead();
			this.delay.messageRead();
			this.delay.messageRead();
			this.delay.messageRead();
			this.delay.messageRead();
			this.delay.tick(this.now);
			this.now += 100;
		}
		assertThat(this.delay.requestShare()).isLessThan(0.1);
		assertThat(this.delay.isIdle()).isFalse();
	}

	@Test
	void allRequestsAreWantedAgainOnceMessagesAreReadInTime() {
		busy(20, 400);
		busy(40, 150);
		assertThat(this.delay.requestShare()).isEqualTo(1);
	}

	@Test
	void isIdleAgainAfterTheLastMessage() {
		busy(20, 20);
		this.delay.tick(this.now);
		this.now += 100;
		this.delay.tick(this.now);
		assertThat(this.delay.isIdle()).isTrue();
	}

}
