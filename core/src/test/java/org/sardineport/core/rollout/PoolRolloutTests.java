package org.sardineport.core.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.PoolName;

import static org.assertj.core.api.Assertions.assertThat;

class PoolRolloutTests {

	private static final SoftwareVersion OLD = RolloutFixture.OLD;

	private static final SoftwareVersion TARGET = RolloutFixture.TARGET;

	private static final DaemonId COORDINATOR = DaemonId.of("c");

	private static final Duration INTERVAL = Duration.ofMillis(250);

	private final PoolRollout rollout = rollout(Set.of(OLD, TARGET));

	// A daemon that had only heard of the order sent requests to the target.
	@Test
	void nothingGoesToTheTargetBeforeAnAnnouncement() {
		assertThat(this.rollout.sample(at(0))).isEmpty();
		assertThat(this.rollout.gate(at(0)).takesUnbound(TARGET)).isFalse();
		assertThat(this.rollout.gate(at(0)).takesUnbound(OLD)).isTrue();
	}

	// A daemon that was cut off from its coordinator went on with the sample.
	@Test
	void sampleEndsIfTheCoordinatorIsSilent() {
		follow(1, RolloutPhase.CANARY, 1, at(0));
		assertThat(this.rollout.sample(at(900))).contains(TARGET);
		assertThat(this.rollout.sample(at(1100))).isEmpty();
		assertThat(this.rollout.isCoordinatorMissing(at(1100), 0)).isFalse();
		assertThat(this.rollout.isCoordinatorMissing(at(1300), 0)).isTrue();
		assertThat(this.rollout.isCoordinatorMissing(at(1300), 1)).isFalse();
	}

	// Work went back to versions that were about to stop.
	@Test
	void othersStayClosedIfTheCoordinatorIsSilent() {
		follow(1, RolloutPhase.FULL, 0, at(0));
		assertThat(this.rollout.gate(at(60_000)).takesUnbound(OLD)).isFalse();
		assertThat(this.rollout.gate(at(60_000)).takesBound(OLD)).isTrue();
	}

	// A coordinator that had been suspended took back what its successor had decided.
	@Test
	void announcementOfAnEarlierClaimChangesNothing() {
		follow(2, RolloutPhase.FULL, 0, at(0));
		follow(1, RolloutPhase.ROLLED_BACK, 0, at(100));
		assertThat(this.rollout.phase()).isEqualTo(RolloutPhase.FULL);
	}

	// A successor that had missed the end of the sample took all daemons back to it.
	@Test
	void successorDoesNotLeadBackToTheSample() {
		follow(1, RolloutPhase.FULL, 0, at(0));
		follow(2, RolloutPhase.CANARY, 0.1, at(100));
		assertThat(this.rollout.phase()).isEqualTo(RolloutPhase.FULL);
		assertThat(this.rollout.report(at(200)).phase()).isEqualTo(RolloutPhase.FULL);
		assertThat(this.rollout.report(at(200)).term()).isEqualTo(2);
	}

	@Test
	void finalPhaseIsKept() {
		follow(1, RolloutPhase.ROLLED_BACK, 0, at(0));
		follow(2, RolloutPhase.CANARY, 1, at(100));
		assertThat(this.rollout.phase()).isEqualTo(RolloutPhase.ROLLED_BACK);
		assertThat(this.rollout.gate(at(60_000)).takesBound(TARGET)).isFalse();
		assertThat(this.rollout.gate(at(60_000)).takesUnbound(OLD)).isTrue();
	}

	// Backend servers of a third version got nothing after a rollout had been completed.
	@Test
	void onlyTheFormerVersionsAreClosedForAWhileAfterTheCompletion() {
		follow(1, RolloutPhase.COMPLETE, 0, at(0));
		assertThat(this.rollout.gate(at(9000)).takesUnbound(OLD)).isFalse();
		assertThat(this.rollout.gate(at(9000)).takesUnbound(SoftwareVersion.of("v3"))).isTrue();
		assertThat(this.rollout.gate(at(10_000))).isEqualTo(VersionGate.OPEN);
	}

	// An order for the version that runs left the pool without a version.
	@Test
	void onlyListedVersionTakesWorkWhateverTheOrder() {
		PoolRollout alone = rollout(Set.of(TARGET));
		assertThat(alone.gate(at(0))).isEqualTo(VersionGate.OPEN);
		alone.listed(Set.of(OLD, TARGET));
		assertThat(alone.gate(at(0)).takesUnbound(TARGET)).isFalse();
	}

	@Test
	void announcementOfAnotherOrderIsIgnored() {
		RolloutStage stage = new RolloutStage(6, 9, RolloutPhase.FULL, 0, 0);
		this.rollout.follow(COORDINATOR, new RolloutAnnouncement(PoolName.of("pool"), stage, INTERVAL, INTERVAL),
				at(0));
		assertThat(this.rollout.phase()).isEqualTo(RolloutPhase.CANARY);
	}

	private void follow(long term, RolloutPhase phase, double share, Instant now) {
		RolloutStage stage = new RolloutStage(7, term, phase, share, 3);
		this.rollout.follow(COORDINATOR, new RolloutAnnouncement(PoolName.of("pool"), stage, Duration.ZERO, INTERVAL),
				now);
	}

	private static PoolRollout rollout(Set<SoftwareVersion> listed) {
		RolloutOrder order = new RolloutOrder(PoolName.of("pool"), TARGET, Duration.ofSeconds(15), 7);
		return PoolRollout.create(order, listed, 0, new SplittableRandom(1), at(0));
	}

	private static Instant at(long millis) {
		return Instant.ofEpochSecond(1000).plusMillis(millis);
	}

}
