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
import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.request.RefusalReason;
import org.sardineport.core.request.RetryReason;
import org.sardineport.core.request.RunningPolicy;
import org.sardineport.core.request.Tier;
import org.sardineport.core.scheduling.SchedulingFixture.Caller;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against lost or duplicate permits when messages are lost, owners change or stop
 * responding, and backend servers fail or restart.
 */
class SchedulerFaultTests {

	private static final Duration SECOND = Duration.ofSeconds(1);

	@ParameterizedTest
	@EnumSource
	void recoversFromLostMessage(LostMessage lost) {
		SchedulingFixture fleet = SchedulingFixture.twoDaemons(2);
		Caller caller = fleet.submit("a", Tier.STANDARD);
		lost.apply(fleet, caller);
		fleet.advanceAndDeliver(Duration.ofSeconds(12));
		assertThat(caller.decisions()).isEqualTo(1);
		assertThat(caller.isGranted()).isTrue();
		assertThat(fleet.scheduler("b").states().get(0).running()).isEqualTo(lost.runningAfterRecovery);
	}

	@Test
	void requestMovesToAnotherOwnerWhenItsOwnerIsUnresponsive() {
		SchedulingFixture fleet = new SchedulingFixture().daemons("a", "b", "c")
			.server("s1", 2, "b")
			.server("s2", 2, "c")
			.publishFleet();
		Caller caller = fleet.submit("a", Tier.STANDARD);
		String unresponsive = fleet.sent.get(0).to().value();
		for (int i = 0; i < 80 && caller.isWaiting(); i++) {
			fleet.sent.removeIf((sent) -> sent.to().value().equals(unresponsive));
			fleet.advance(Duration.ofMillis(25));
			fleet.sent.removeIf((sent) -> sent.to().value().equals(unresponsive));
			fleet.deliver();
		}
		assertThat(caller.isGranted()).isTrue();
		assertThat(fleet.retries).contains(RetryReason.OWNER_SILENT);
	}

	@Test
	void topTierIsNotRefusedWhileTheOnlyOwnerIsUnresponsive() {
		SchedulingFixture fleet = SchedulingFixture.twoDaemons(2);
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
	void newOwnerCountsRunningRequests() {
		SchedulingFixture fleet = SchedulingFixture.twoDaemons(2);
		Caller caller = fleet.submit("a", Tier.STANDARD);
		fleet.deliver();
		fleet.owners.put(BackendServerId.of("s1"), DaemonId.of("a"));
		fleet.publishFleet("b");
		assertThat(caller.isGranted()).isTrue();
		assertThat(fleet.scheduler("a").states().get(0).running()).isEqualTo(1);
		caller.complete(SECOND, SECOND);
		assertThat(fleet.scheduler("a").states().get(0).running()).isZero();
	}

	@Test
	void learnedSpeedIsKeptWhenOwnershipReturns() {
		SchedulingFixture fleet = SchedulingFixture.singleDaemon(4).daemons("b").publishFleet();
		fleet.submit("a", Tier.STANDARD).complete(Duration.ofSeconds(2), Duration.ofSeconds(10));
		fleet.owners.put(BackendServerId.of("s1"), DaemonId.of("b"));
		fleet.publishFleet();
		fleet.owners.put(BackendServerId.of("s1"), DaemonId.of("a"));
		fleet.publishFleet("b");
		Caller late = fleet.submit("a", fleet.request(Tier.STANDARD, RunningPolicy.CANCELLABLE, SECOND));
		assertThat(late.refusal().reason()).isEqualTo(RefusalReason.DEADLINE_UNREACHABLE);
	}

	@Test
	void learnedStateIsDiscardedWhenBackendServerRestarts() {
		SchedulingFixture fleet = SchedulingFixture.twoDaemons(2);
		for (int i = 0; i < 3; i++) {
			Caller failing = fleet.submit("a", Tier.STANDARD);
			fleet.deliver();
			failing.end(RunEnd.BROKEN);
			fleet.deliver();
		}
		assertThat(fleet.scheduler("b").states().get(0).isolated()).isTrue();
		fleet.restartServer();
		assertThat(fleet.scheduler("b").states().get(0).isolated()).isFalse();
		Caller next = fleet.submit("a", Tier.STANDARD);
		fleet.deliver();
		assertThat(next.isGranted()).isTrue();
	}

	@Test
	void permitsAreFreedWhenBackendServerRestarts() {
		SchedulingFixture fleet = SchedulingFixture.twoDaemons(2);
		List<Caller> former = SchedulingFixture.fill(fleet, "a", Tier.STANDARD, 1);
		fleet.advanceAndDeliver(SECOND);
		fleet.restartServer();
		assertThat(SchedulingFixture.fill(fleet, "a", Tier.STANDARD, 1)).allMatch(Caller::isGranted);
		former.forEach((caller) -> caller.end(RunEnd.BROKEN));
		fleet.deliver();
		assertThat(fleet.scheduler("b").states().get(0).running()).isEqualTo(1);
	}

	@Test
	void queuedRequestIsGrantedAfterBackendServerRestarts() {
		SchedulingFixture fleet = SchedulingFixture.twoDaemons(2);
		SchedulingFixture.fill(fleet, "a", Tier.STANDARD, 1);
		Caller waiting = fleet.submit("a", Tier.STANDARD);
		fleet.deliver();
		assertThat(waiting.isWaiting()).isTrue();
		fleet.restartServer();
		fleet.advanceAndDeliver(SECOND);
		assertThat(waiting.isGranted()).isTrue();
	}

	@Test
	void waitingRequestMovesToTheNewOwner() {
		SchedulingFixture fleet = SchedulingFixture.twoDaemons(2);
		SchedulingFixture.fill(fleet, "a", Tier.STANDARD, 1);
		Caller waiting = fleet.submit("a", Tier.STANDARD);
		fleet.deliver();
		fleet.owners.put(BackendServerId.of("s1"), DaemonId.of("a"));
		fleet.publishFleet("b");
		fleet.advanceAndDeliver(Duration.ofSeconds(2));
		assertThat(waiting.decisions()).isLessThan(2);
		assertThat(fleet.scheduler("a").waiting() + fleet.scheduler("a").running()).isEqualTo(2);
	}

	@Test
	void twoOwnersAtOnceOverAdmitButAnswerEachRequestOnce() {
		SchedulingFixture fleet = SchedulingFixture.twoDaemons(4);
		List<Caller> first = SchedulingFixture.fill(fleet, "a", Tier.STANDARD, 3);
		fleet.owners.put(BackendServerId.of("s1"), DaemonId.of("a"));
		fleet.publishFleetTo("a");
		SchedulingFixture.reportLoad(fleet, "a", "s1", 0, false);
		List<Caller> second = SchedulingFixture.fill(fleet, "b", Tier.STANDARD, 2);
		second.addAll(SchedulingFixture.fill(fleet, "a", Tier.STANDARD, 2));
		fleet.publishFleetTo("b");
		fleet.deliver();
		first.forEach((caller) -> caller.complete(SECOND, SECOND));
		fleet.advanceAndDeliver(Duration.ofSeconds(2));
		second.get(0).complete(SECOND, SECOND);
		fleet.advanceAndDeliver(Duration.ofSeconds(2));
		List<Caller> all = new ArrayList<>(first);
		all.addAll(second);
		assertThat(all).allMatch(Caller::isGranted);
		assertThat(all).allMatch((caller) -> caller.decisions() == 1);
	}

	@Test
	void leavingServerGetsNoPermits() {
		SchedulingFixture fleet = SchedulingFixture.singleDaemon(4);
		SchedulingFixture.reportLoad(fleet, "a", "s1", 0, true);
		Caller caller = fleet.submit("a", Tier.URGENT);
		assertThat(caller.refusal().reason()).isEqualTo(RefusalReason.NO_BACKEND_SERVER);
	}

	// The refusal said that backend servers had failed where none was listed.
	@Test
	void refusalForWantOfAnyServerDoesNotSpeakOfFailures() {
		SchedulingFixture fleet = new SchedulingFixture().daemons("a");
		fleet.publishFleet();
		Caller caller = fleet.submit("a", Tier.STANDARD);
		assertThat(caller.refusal().reason()).isEqualTo(RefusalReason.NO_BACKEND_SERVER);
		assertThat(caller.refusal().detail()).isEqualTo("no backend server of the pool is listed as live");
	}

	@Test
	void loadAdmittedByOtherOwnersCounts() {
		SchedulingFixture fleet = SchedulingFixture.singleDaemon(4);
		SchedulingFixture.reportLoad(fleet, "a", "s1", 4, false);
		assertThat(fleet.submit("a", Tier.BATCH).isWaiting()).isTrue();
	}

	@Test
	void failingServerIsIsolatedUntilAProbeSucceeds() {
		SchedulingFixture fleet = SchedulingFixture.singleDaemon(4);
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
	void isolatedServerIsProbedWhileOtherServersHaveRoom(Requester requester) {
		SchedulingFixture fleet = new SchedulingFixture().daemons("a", "b")
			.server("s1", 4, "a")
			.server("s2", 4, "a")
			.publishFleet();
		for (int failures = 0; failures < 3;) {
			Caller caller = submitAndDeliver(fleet, requester.daemon);
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
		fleet.advanceAndDeliver(Duration.ofSeconds(requester.idleSeconds));
		Set<BackendServerId> used = new HashSet<>();
		for (int i = 0; i < 400; i++) {
			Caller caller = submitAndDeliver(fleet, requester.daemon);
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

	/**
	 * Daemon that requests permits while a backend server is isolated.
	 */
	enum Requester {

		OWNER("a", 0), ANOTHER_DAEMON("b", 0), ANOTHER_DAEMON_AFTER_A_PAUSE("b", 60);

		private final String daemon;

		private final int idleSeconds;

		Requester(String daemon, int idleSeconds) {
			this.daemon = daemon;
			this.idleSeconds = idleSeconds;
		}

	}

	/**
	 * A message lost between daemons.
	 */
	enum LostMessage {

		REQUEST(1) {
			@Override
			void apply(SchedulingFixture fleet, Caller caller) {
				fleet.drop(PermitRequest.class::isInstance);
			}
		},

		GRANT(1) {
			@Override
			void apply(SchedulingFixture fleet, Caller caller) {
				fleet.deliver(fleet.sent.remove(0));
				fleet.drop(PermitGrant.class::isInstance);
			}
		},

		RELEASE(0) {
			@Override
			void apply(SchedulingFixture fleet, Caller caller) {
				fleet.deliver();
				Caller other = fleet.submit("a", Tier.URGENT);
				fleet.deliver();
				caller.complete(SECOND, SECOND);
				fleet.drop(PermitRelease.class::isInstance);
				other.complete(SECOND, SECOND);
			}
		};

		private final int runningAfterRecovery;

		LostMessage(int runningAfterRecovery) {
			this.runningAfterRecovery = runningAfterRecovery;
		}

		abstract void apply(SchedulingFixture fleet, Caller caller);

	}

	// The rest of a begun response was refused as other requests had been denied lately.
	@Test
	void retryOfARunIsNotRefusedForTheDenialsOfOtherRequests() {
		SchedulingFixture fleet = new SchedulingFixture().daemons("a", "b");
		for (String server : List.of("s1", "s2", "s3")) {
			fleet.server(server, 8, "b");
		}
		fleet.publishFleet();
		for (String server : List.of("s1", "s2", "s3")) {
			SchedulingFixture.reportLoad(fleet, "b", server, 0, true);
		}
		RefusalReason reason = RefusalReason.NO_BACKEND_SERVER;
		for (int i = 0; i < 500 && reason != RefusalReason.RETRY_BUDGET_SPENT; i++) {
			reason = submitted(fleet, fleet.request(Tier.STANDARD)).refusal().reason();
		}
		assertThat(reason).isEqualTo(RefusalReason.RETRY_BUDGET_SPENT);
		SchedulingFixture.reportLoad(fleet, "b", "s3", 0, false);
		for (int i = 0; i < 4; i++) {
			assertThat(submitted(fleet, retryOfRun(fleet)).isGranted()).isTrue();
		}
	}

	private static Caller submitted(SchedulingFixture fleet, SchedulingRequest request) {
		Caller caller = fleet.submit("a", request);
		fleet.deliver();
		return caller;
	}

	private static SchedulingRequest retryOfRun(SchedulingFixture fleet) {
		SchedulingRequest fresh = fleet.request(Tier.STANDARD);
		return new SchedulingRequest(fresh.id(), fresh.pool(), fresh.organisation(), fresh.tier(), fresh.rank(),
				fresh.estimate(), fresh.prefixHash(), fresh.fingerprint(), fresh.runningPolicy(),
				fresh.organisationLimit(), fresh.organisationTokens(), Set.of(BackendServerId.of("failed")),
				fresh.arrival(), fresh.startDeadlines(), fresh.deadline());
	}

}
