package org.sardineport.core.membership;

import java.time.Duration;
import java.time.Instant;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards that a daemon that reads its messages late knows it before it declares others
 * dead.
 */
class SelfProbeTests {

	private static final Instant START = Instant.ofEpochSecond(100);

	private static final Duration REPEAT = Duration.ofMillis(200);

	private final SelfProbe probe = new SelfProbe(REPEAT);

	@Test
	void messagesHaveBeenReadUpToTheProbeThatWasRead() {
		assertThat(this.probe.hasReadUntil(START)).isFalse();
		this.probe.sent(1, START);
		assertThat(this.probe.hasReadUntil(START)).isFalse();
		this.probe.read(1);
		assertThat(this.probe.hasReadUntil(START)).isTrue();
		assertThat(this.probe.hasReadUntil(START.plusMillis(1))).isFalse();
	}

	@Test
	void probeIsSentOnceAndRepeatedOnlyIfItMayBeLost() {
		assertThat(this.probe.isDue(START, START)).isTrue();
		this.probe.sent(1, START);
		assertThat(this.probe.isDue(START, START.plusMillis(40))).isFalse();
		assertThat(this.probe.isDue(START, START.plus(REPEAT))).isTrue();
		this.probe.read(1);
		assertThat(this.probe.isDue(START, START.plus(REPEAT))).isFalse();
		assertThat(this.probe.isDue(START.plusMillis(1), START.plus(REPEAT))).isTrue();
	}

	// Under constant delay each probe is repeated before the first one is read.
	@Test
	void earlierProbeCountsAfterItWasRepeated() {
		this.probe.sent(1, START);
		this.probe.sent(2, START.plus(REPEAT));
		this.probe.read(1);
		assertThat(this.probe.hasReadUntil(START)).isTrue();
		assertThat(this.probe.hasReadUntil(START.plus(REPEAT))).isFalse();
	}

	@Test
	void probesOfFormerRunsDoNotCount() {
		this.probe.read(7);
		assertThat(this.probe.hasReadUntil(START)).isFalse();
	}

}
