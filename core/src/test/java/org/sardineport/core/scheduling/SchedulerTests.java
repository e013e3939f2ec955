package org.sardineport.core.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.backend.LoadReport;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.request.RefusalReason;
import org.sardineport.core.request.RetryReason;
import org.sardineport.core.request.RunningPolicy;
import org.sardineport.core.request.Tier;
import org.sardineport.core.request.TokenEstimate;
import org.sardineport.core.scheduling.SchedulingFixture.Caller;

import static org.assertj.core.api.Assertions.assertThat;

class SchedulerTests {

	private static final Duration SECOND = Duration.ofSeconds(1);

	private static SchedulingFixture alone(int concurrency) {
		SchedulingFixture fleet = new SchedulingFixture().daemons("a").server("s1", concurrency, "a").tellFleet();
		reportLoad(fleet, "a", "s1", 0, false);
		return fleet;
	}

	private static SchedulingFixture pair(int concurrency) {
		SchedulingFixture fleet = new SchedulingFixture().daemons("a", "b").server("s1", concurrency, "b").tellFleet();
		reportLoad(fleet, "b", "s1", 0, false);
		return fleet;
	}

	private static void reportLoad(SchedulingFixture fleet, String daemon, String server, int running,
			boolean leaving) {
		fleet.scheduler(daemon)
			.loaded(new LoadReport(BackendServerId.of(server), running, 0, 0, leaving, false, fleet.now));
	}

	private static List<Caller> fill(SchedulingFixture fleet, String daemon, Tier tier, int count) {
		List<Caller> callers = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			callers.add(fleet.submit(daemon, tier));
			fleet.deliver();
		}
		return callers;
	}

	@Test
	void grantsWithoutMessageWhereEntryIsOwner() {
		SchedulingFixture fleet = alone(4);
		assertThat(fleet.submit("a", Tier.STANDARD).isGranted()).isTrue();
		assertThat(fleet.sent).isEmpty();
	}

	@Test
	void grantsThroughTheOwnerElsewhere() {
		SchedulingFixture fleet = pair(4);
		Caller caller = fleet.submit("a", Tier.STANDARD);
		assertThat(caller.isWaiting()).isTrue();
		fleet.deliver();
		assertThat(caller.isGranted()).isTrue();
		assertThat(caller.permit().lapses()).isEqualTo(fleet.now.plus(SECOND));
	}

	@Test
	void lowerTierWaitsAtTheLimitAndRunsAfterARelease() {
		SchedulingFixture fleet = alone(4);
		List<Caller> running = fill(fleet, "a", Tier.STANDARD, 3);
		Caller waiting = fleet.submit("a", Tier.STANDARD);
		assertThat(running).allMatch(Caller::isGranted);
		assertThat(waiting.isWaiting()).isTrue();
		running.get(0).complete(SECOND, SECOND);
		assertThat(waiting.isGranted()).isTrue();
	}

	@Test
	void moreUrgentTierGoesFirst() {
		SchedulingFixture fleet = alone(2);
		List<Caller> running = fill(fleet, "a", Tier.STANDARD, 1);
		Caller batch = fleet.submit("a", Tier.BATCH);
		Caller interactive = fleet.submit("a", Tier.INTERACTIVE);
		running.get(0).end(RunEnd.CANCELLED);
		assertThat(interactive.isGranted()).isTrue();
		assertThat(batch.isWaiting()).isTrue();
	}

	@Test
	void topTierExceedsTheLimitThenPreemptsThenNeverWaitsBehindLowerTiers() {
		SchedulingFixture fleet = alone(4);
		List<Caller> lower = fill(fleet, "a", Tier.BATCH, 3);
		List<Caller> top = fill(fleet, "a", Tier.URGENT, 8);
		assertThat(top.subList(0, 5)).allMatch(Caller::isGranted);
		assertThat(lower).filteredOn(Caller::isPreempted).hasSize(3);
		assertThat(fleet.scheduler("a").isTopTierBehindLower()).isFalse();
	}

	@Test
	void topTierIsNeverShedBesideWorkThatMustNotBeInterrupted() {
		SchedulingFixture fleet = alone(1);
		Caller posting = fleet.submit("a",
				fleet.request(Tier.BATCH, RunningPolicy.UNINTERRUPTIBLE, Duration.ofSeconds(60)));
		List<Caller> top = fill(fleet, "a", Tier.URGENT, 5);
		assertThat(top).noneMatch(Caller::isRefused);
		assertThat(top).filteredOn(Caller::isGranted).hasSize(1);
		fleet.advance(Duration.ofSeconds(60));
		assertThat(posting.isPreempted()).isFalse();
		assertThat(top).allMatch(Caller::isGranted);
	}

	@Test
	void waitingTopTierGoesBeforeLowerTiersThatCameFirst() {
		SchedulingFixture fleet = alone(1);
		Caller posting = fleet.submit("a",
				fleet.request(Tier.BATCH, RunningPolicy.UNINTERRUPTIBLE, Duration.ofSeconds(60)));
		Caller beside = fleet.submit("a", Tier.URGENT);
		Caller lower = fleet.submit("a", Tier.INTERACTIVE);
		Caller top = fleet.submit("a", Tier.URGENT);
		posting.complete(SECOND, SECOND);
		assertThat(beside.isGranted()).isTrue();
		assertThat(top.isGranted()).isTrue();
		assertThat(lower.isWaiting()).isTrue();
	}

	@Test
	void preemptionTakesTheLeastWastedPrefill() {
		SchedulingFixture fleet = alone(3);
		Caller large = fleet.submit("a", fleet.request(Tier.BATCH, RunningPolicy.CANCELLABLE, Duration.ofSeconds(60),
				"organisation", 0, TokenEstimate.of(4000, 100)));
		Caller small = fleet.submit("a", Tier.INTERACTIVE);
		fleet.advance(SECOND);
		fill(fleet, "a", Tier.URGENT, 3);
		assertThat(small.isPreempted()).isTrue();
		assertThat(large.isPreempted()).isFalse();
	}

	@Test
	void lowerTierThatCannotFinishIsRefusedAtOnceWithATimeToComeBack() {
		SchedulingFixture fleet = alone(4);
		Caller learned = fleet.submit("a", Tier.STANDARD);
		fleet.advance(Duration.ofSeconds(10));
		learned.complete(Duration.ofSeconds(2), Duration.ofSeconds(10));
		Caller late = fleet.submit("a", fleet.request(Tier.STANDARD, RunningPolicy.CANCELLABLE, SECOND));
		assertThat(late.refusal().reason()).isEqualTo(RefusalReason.DEADLINE_UNREACHABLE);
		assertThat(late.refusal().retryAfter()).isPositive();
	}

	@Test
	void serverOnceSlowIsTriedAgainAfterAWhile() {
		SchedulingFixture fleet = alone(4);
		Caller learned = fleet.submit("a", Tier.STANDARD);
		learned.complete(Duration.ofSeconds(2), Duration.ofSeconds(10));
		fleet.advance(Duration.ofSeconds(60));
		assertThat(fleet.submit("a", fleet.request(Tier.STANDARD, RunningPolicy.CANCELLABLE, SECOND)).isGranted())
			.isTrue();
	}

	@Test
	void callerGoneWhileWaitingTakesNoPermit() {
		SchedulingFixture fleet = pair(2);
		List<Caller> running = fill(fleet, "a", Tier.STANDARD, 1);
		Caller gone = fleet.submit("a", Tier.STANDARD);
		Caller next = fleet.submit("a", Tier.STANDARD);
		fleet.deliver();
		gone.abandon();
		fleet.deliver();
		running.get(0).end(RunEnd.CANCELLED);
		fleet.deliver();
		assertThat(gone.answers()).isZero();
		assertThat(next.isGranted()).isTrue();
	}

	@Test
	void grantThatCrossesTheCallersLeavingIsGivenBack() {
		SchedulingFixture fleet = pair(2);
		Caller gone = fleet.submit("a", Tier.STANDARD);
		gone.abandon();
		fleet.deliver();
		assertThat(gone.answers()).isZero();
		assertThat(fleet.scheduler("b").states().get(0).running()).isZero();
	}

	@ParameterizedTest
	@EnumSource
	void lostMessageIsMadeGood(LostMessage lost) {
		SchedulingFixture fleet = pair(2);
		Caller caller = fleet.submit("a", Tier.STANDARD);
		lost.cause(fleet, caller);
		fleet.advanceAndDeliver(Duration.ofSeconds(12));
		assertThat(caller.answers()).isEqualTo(1);
		assertThat(caller.isGranted()).isTrue();
		assertThat(fleet.scheduler("b").states().get(0).running()).isEqualTo(lost.runningAtTheEnd);
	}

	@Test
	void silentOwnerIsLeftForAnother() {
		SchedulingFixture fleet = new SchedulingFixture().daemons("a", "b", "c")
			.server("s1", 2, "b")
			.server("s2", 2, "c")
			.tellFleet();
		Caller caller = fleet.submit("a", Tier.STANDARD);
		String silent = fleet.sent.get(0).to().value();
		for (int i = 0; i < 80 && caller.isWaiting(); i++) {
			fleet.sent.removeIf((sent) -> sent.to().value().equals(silent));
			fleet.advance(Duration.ofMillis(25));
			fleet.sent.removeIf((sent) -> sent.to().value().equals(silent));
			fleet.deliver();
		}
		assertThat(caller.isGranted()).isTrue();
		assertThat(fleet.retries).contains(RetryReason.OWNER_SILENT);
	}

	@Test
	void topTierOutlastsTheSilenceOfTheOnlyOwner() {
		SchedulingFixture fleet = pair(2);
		Caller caller = fleet.submit("a", Tier.URGENT);
		for (int i = 0; i < 200; i++) {
			fleet.advance(Duration.ofMillis(25));
			fleet.sent.clear();
		}
		assertThat(caller.isRefused()).isFalse();
		fleet.advanceAndDeliver(Duration.ofSeconds(6));
		assertThat(caller.isGranted()).isTrue();
	}

	@Test
	void newOwnerLearnsWhatRuns() {
		SchedulingFixture fleet = pair(2);
		Caller caller = fleet.submit("a", Tier.STANDARD);
		fleet.deliver();
		fleet.owners.put(BackendServerId.of("s1"), DaemonId.of("a"));
		fleet.tellFleet("b");
		assertThat(caller.isGranted()).isTrue();
		assertThat(fleet.scheduler("a").states().get(0).running()).isEqualTo(1);
		caller.complete(SECOND, SECOND);
		assertThat(fleet.scheduler("a").states().get(0).running()).isZero();
	}

	@Test
	void ownerThatLosesAServerAndGetsItBackRemembersItsSpeed() {
		SchedulingFixture fleet = alone(4).daemons("b").tellFleet();
		fleet.submit("a", Tier.STANDARD).complete(Duration.ofSeconds(2), Duration.ofSeconds(10));
		fleet.owners.put(BackendServerId.of("s1"), DaemonId.of("b"));
		fleet.tellFleet();
		fleet.owners.put(BackendServerId.of("s1"), DaemonId.of("a"));
		fleet.tellFleet("b");
		Caller late = fleet.submit("a", fleet.request(Tier.STANDARD, RunningPolicy.CANCELLABLE, SECOND));
		assertThat(late.refusal().reason()).isEqualTo(RefusalReason.DEADLINE_UNREACHABLE);
	}

	@Test
	void waitingRequestMovesToTheNewOwner() {
		SchedulingFixture fleet = pair(2);
		fill(fleet, "a", Tier.STANDARD, 1);
		Caller waiting = fleet.submit("a", Tier.STANDARD);
		fleet.deliver();
		fleet.owners.put(BackendServerId.of("s1"), DaemonId.of("a"));
		fleet.tellFleet("b");
		fleet.advanceAndDeliver(Duration.ofSeconds(2));
		assertThat(waiting.answers()).isLessThan(2);
		assertThat(fleet.scheduler("a").waiting() + fleet.scheduler("a").running()).isEqualTo(2);
	}

	@Test
	void twoOwnersAtOnceOverAdmitAndDoNoOtherHarm() {
		SchedulingFixture fleet = pair(4);
		List<Caller> first = fill(fleet, "a", Tier.STANDARD, 3);
		fleet.owners.put(BackendServerId.of("s1"), DaemonId.of("a"));
		fleet.tellFleetTo("a");
		reportLoad(fleet, "a", "s1", 0, false);
		List<Caller> second = fill(fleet, "b", Tier.STANDARD, 2);
		second.addAll(fill(fleet, "a", Tier.STANDARD, 2));
		fleet.tellFleetTo("b");
		fleet.deliver();
		first.forEach((caller) -> caller.complete(SECOND, SECOND));
		fleet.advanceAndDeliver(Duration.ofSeconds(2));
		second.get(0).complete(SECOND, SECOND);
		fleet.advanceAndDeliver(Duration.ofSeconds(2));
		List<Caller> all = new ArrayList<>(first);
		all.addAll(second);
		assertThat(all).allMatch(Caller::isGranted);
		assertThat(all).allMatch((caller) -> caller.answers() == 1);
	}

	@Test
	void leavingServerGetsNoPermits() {
		SchedulingFixture fleet = alone(4);
		reportLoad(fleet, "a", "s1", 0, true);
		Caller caller = fleet.submit("a", Tier.URGENT);
		assertThat(caller.refusal().reason()).isEqualTo(RefusalReason.NO_BACKEND_SERVER);
	}

	@Test
	void loadLetInByOthersCounts() {
		SchedulingFixture fleet = alone(4);
		reportLoad(fleet, "a", "s1", 4, false);
		assertThat(fleet.submit("a", Tier.BATCH).isWaiting()).isTrue();
	}

	@Test
	void failingServerIsIsolatedAndProbedBackIn() {
		SchedulingFixture fleet = alone(4);
		for (int i = 0; i < 3; i++) {
			fleet.submit("a", Tier.STANDARD).end(RunEnd.NOT_CONNECTED);
		}
		assertThat(fleet.submit("a", Tier.STANDARD).isRefused()).isTrue();
		fleet.advance(SECOND);
		Caller probe = fleet.submit("a", Tier.STANDARD);
		assertThat(probe.isGranted()).isTrue();
		assertThat(fleet.submit("a", Tier.STANDARD).isRefused()).isTrue();
		probe.complete(SECOND, SECOND);
		assertThat(fleet.submit("a", Tier.STANDARD).isGranted()).isTrue();
	}

	@ParameterizedTest
	@EnumSource
	void isolatedServerIsProbedThoughOthersHaveRoom(Asker asker) {
		SchedulingFixture fleet = new SchedulingFixture().daemons("a", "b")
			.server("s1", 4, "a")
			.server("s2", 4, "a")
			.tellFleet();
		for (int failures = 0; failures < 3;) {
			Caller caller = submitAndDeliver(fleet, asker.daemon);
			boolean first = caller.permit().backendServer().id().equals(BackendServerId.of("s1"));
			failures += (first) ? 1 : 0;
			if (first) {
				caller.end(RunEnd.NOT_CONNECTED);
			}
			else {
				caller.complete(SECOND, SECOND);
			}
			fleet.deliver();
		}
		fleet.advanceAndDeliver(Duration.ofSeconds(asker.idleSeconds));
		Set<BackendServerId> used = new HashSet<>();
		for (int i = 0; i < 400; i++) {
			Caller caller = submitAndDeliver(fleet, asker.daemon);
			used.add(caller.permit().backendServer().id());
			caller.complete(Duration.ofMillis(10), Duration.ofMillis(20));
			fleet.advanceAndDeliver(Duration.ofMillis(50));
		}
		assertThat(used).hasSize(2);
	}

	private static Caller submitAndDeliver(SchedulingFixture fleet, String daemon) {
		Caller caller = fleet.submit(daemon, Tier.STANDARD);
		fleet.deliver();
		assertThat(caller.isGranted()).isTrue();
		return caller;
	}

	@Test
	void requestThatBrokeTwoServersIsQuarantinedAndItsNeighbourIsNot() {
		SchedulingFixture fleet = new SchedulingFixture().daemons("a")
			.server("s1", 8, "a")
			.server("s2", 8, "a")
			.tellFleet();
		var poison = fleet.request(Tier.STANDARD);
		Caller neighbour = fleet.submit("a", Tier.STANDARD);
		for (int i = 0; i < 2; i++) {
			Caller run = fleet.submit("a", poison);
			run.end(RunEnd.BROKEN);
			fleet.servers.remove(run.permit().backendServer());
			fleet.tellFleet();
		}
		neighbour.end(RunEnd.BROKEN);
		fleet.server("s3", 8, "a").tellFleet();
		assertThat(fleet.submit("a", poison).refusal().reason()).isEqualTo(RefusalReason.QUARANTINED);
		assertThat(fleet.submit("a", neighbour.request()).isGranted()).isTrue();
		fleet.advance(Duration.ofMinutes(11));
		assertThat(fleet.submit("a", fleet.again(poison)).isGranted()).isTrue();
	}

	@Test
	void greedyOrganisationDoesNotDelayAnother() {
		SchedulingFixture fleet = alone(2);
		List<Caller> running = new ArrayList<>(fill(fleet, "a", Tier.STANDARD, 1));
		List<Caller> greedy = fill(fleet, "a", Tier.STANDARD, 20);
		Caller modest = fleet.submit("a", fleet.request(Tier.STANDARD, RunningPolicy.CANCELLABLE,
				Duration.ofSeconds(60), "modest", 0, TokenEstimate.of(100, 100)));
		int served = 0;
		while (modest.isWaiting()) {
			running.get(running.size() - 1).complete(Duration.ofMillis(1), Duration.ofMillis(10));
			greedy.stream().filter((caller) -> caller.isGranted() && !running.contains(caller)).forEach(running::add);
			served++;
		}
		assertThat(served).isLessThan(18);
	}

	@Test
	void organisationBeyondItsLimitIsToldWhenToComeBack() {
		SchedulingFixture fleet = alone(8);
		Caller last = null;
		for (int i = 0; i < 4; i++) {
			last = fleet.submit("a", fleet.request(Tier.STANDARD, RunningPolicy.CANCELLABLE, Duration.ofSeconds(60),
					"limited", 300, TokenEstimate.of(100, 100)));
		}
		assertThat(last.refusal().reason()).isEqualTo(RefusalReason.ORGANISATION_LIMIT);
		assertThat(last.refusal().retryAfter()).isPositive();
	}

	/**
	 * Who asks for permits while a backend server is isolated.
	 */
	enum Asker {

		OWNER("a", 0), ANOTHER_DAEMON("b", 0), ANOTHER_DAEMON_AFTER_A_PAUSE("b", 60);

		private final String daemon;

		private final int idleSeconds;

		Asker(String daemon, int idleSeconds) {
			this.daemon = daemon;
			this.idleSeconds = idleSeconds;
		}

	}

	/**
	 * A message that is lost on its way.
	 */
	enum LostMessage {

		ASK(1) {
			@Override
			void cause(SchedulingFixture fleet, Caller caller) {
				fleet.drop(PermitRequest.class::isInstance);
			}
		},

		GRANT(1) {
			@Override
			void cause(SchedulingFixture fleet, Caller caller) {
				fleet.deliver(fleet.sent.remove(0));
				fleet.drop(PermitGrant.class::isInstance);
			}
		},

		RELEASE(0) {
			@Override
			void cause(SchedulingFixture fleet, Caller caller) {
				fleet.deliver();
				Caller other = fleet.submit("a", Tier.URGENT);
				fleet.deliver();
				caller.complete(SECOND, SECOND);
				fleet.drop(PermitRelease.class::isInstance);
				other.complete(SECOND, SECOND);
			}
		};

		private final int runningAtTheEnd;

		LostMessage(int runningAtTheEnd) {
			this.runningAtTheEnd = runningAtTheEnd;
		}

		abstract void cause(SchedulingFixture fleet, Caller caller);

	}

}
