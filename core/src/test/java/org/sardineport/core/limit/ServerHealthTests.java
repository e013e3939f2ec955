package org.sardineport.core.limit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against isolation of a healthy backend server, and against more than one probe
 * at a time.
 */
class ServerHealthTests {

	private static ServerHealth isolated(long now) {
		ServerHealth health = ServerHealth.create();
		for (int i = 0; i < 3; i++) {
			health.runStarted();
			health.runFailed(now);
		}
		return health;
	}

	@Test
	void staysHealthyWhileFailuresAreNotConsecutive() {
		ServerHealth health = ServerHealth.create();
		for (int i = 0; i < 10; i++) {
			health.runFailed(0);
			health.runFailed(0);
			health.runSucceeded();
		}
		assertThat(health.isIsolated()).isFalse();
	}

	@Test
	void twoRejectionsCountAsOneFailure() {
		ServerHealth health = ServerHealth.create();
		for (int i = 0; i < 5; i++) {
			health.runRejected(0);
		}
		assertThat(health.isIsolated()).isFalse();
		health.runRejected(0);
		assertThat(health.isIsolated()).isTrue();
	}

	@Test
	void admitsOneProbeAfterTheIsolationPeriod() {
		ServerHealth health = isolated(0);
		assertThat(health.mayRun(999)).isFalse();
		assertThat(health.millisUntilProbe(400)).isEqualTo(600);
		assertThat(health.mayRun(1000)).isTrue();
		health.runStarted();
		assertThat(health.mayRun(5000)).isFalse();
		health.runSucceeded();
		assertThat(health.isIsolated()).isFalse();
	}

	@Test
	void probeIsOverdueOneSecondAfterItWasDueUntilItStarts() {
		ServerHealth health = isolated(0);
		assertThat(health.isProbeOverdue(1999)).isFalse();
		assertThat(health.isProbeOverdue(2000)).isTrue();
		health.runStarted();
		assertThat(health.isProbeOverdue(5000)).isFalse();
	}

	@Test
	void isolationDoublesAfterEachFailedProbeUpToTheMaximum() {
		ServerHealth health = isolated(0);
		long now = 0;
		for (int i = 0; i < 10; i++) {
			now += health.millisUntilProbe(now);
			health.runStarted();
			health.runFailed(now);
		}
		assertThat(health.millisUntilProbe(now)).isEqualTo(30_000);
	}

	@Test
	void inconclusiveProbeAllowsAnother() {
		ServerHealth health = isolated(0);
		health.runStarted();
		health.runInconclusive();
		assertThat(health.mayRun(1000)).isTrue();
	}

	@Test
	void failuresOfEarlierRunsDoNotExtendTheIsolation() {
		ServerHealth health = isolated(0);
		health.runFailed(900);
		assertThat(health.mayRun(1000)).isTrue();
	}

}
