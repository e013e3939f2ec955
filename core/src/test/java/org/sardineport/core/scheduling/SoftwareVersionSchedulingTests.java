package org.sardineport.core.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.request.Outcome;
import org.sardineport.core.request.RefusalReason;
import org.sardineport.core.request.RunningPolicy;
import org.sardineport.core.request.Tier;
import org.sardineport.core.scheduling.SchedulingFixture.Caller;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards streams in pools of several software versions: a request that continues a stream
 * of one version gets permits for servers listed with that version only.
 */
class SoftwareVersionSchedulingTests {

	private static final SoftwareVersion V1 = SoftwareVersion.of("v1");

	private static final SoftwareVersion V2 = SoftwareVersion.of("v2");

	private static final Duration SECOND = Duration.ofSeconds(1);

	private final SchedulingFixture fleet = new SchedulingFixture().daemons("a", "b");

	private Caller submit(Tier tier) {
		Caller caller = this.fleet.submit("a", request(tier));
		this.fleet.deliver();
		return caller;
	}

	private SchedulingRequest request(Tier tier) {
		return this.fleet.request(tier).withRequiredVersion(V1);
	}

	private static String server(Caller caller) {
		return caller.permit().backendServer().id().value();
	}

	/** Fills s1 of version v1 and queues a request for that version. */
	private Caller queueAtTheOnlyServerOfV1(Tier tier) {
		this.fleet.server("s1", 2, "b", V1).server("s2", 8, "b", V2).publishFleet();
		SchedulingFixture.reportLoad(this.fleet, "b", "s1", 0, false);
		// One of two slots is kept for the top tier.
		assertThat(submit(Tier.STANDARD).isGranted()).isTrue();
		Caller waiting = submit(tier);
		assertThat(waiting.isWaiting()).isTrue();
		return waiting;
	}

	// The stream would go on at whichever server is idle, of any version.
	@ParameterizedTest
	@EnumSource
	void idleServerOfAnotherVersionIsPassedOver(Tier tier) {
		this.fleet.server("s1", 8, "b", V1).server("s2", 8, "b", V2).publishFleet();
		for (int i = 0; i < 4; i++) {
			Caller caller = submit(tier);
			assertThat(server(caller)).isEqualTo("s1");
		}
	}

	// A retry after a denial would go to the server of the other version.
	@ParameterizedTest
	@EnumSource
	void deniedRequestIsNotRetriedAtAnotherVersion(Tier tier) {
		this.fleet.server("s1", 8, "b", V1).server("s2", 8, "b", V2).publishFleet();
		SchedulingFixture.reportLoad(this.fleet, "b", "s1", 0, true);
		Caller caller = submit(tier);
		assertThat(caller.isRefused()).isTrue();
		assertThat(caller.refusal().reason()).isEqualTo(RefusalReason.NO_BACKEND_SERVER);
	}

	// A denial at one server of the version would end a stream that another one can take.
	@ParameterizedTest
	@EnumSource
	void deniedRequestIsRetriedAtAnotherServerOfTheVersion(Tier tier) {
		this.fleet.server("s1", 8, "b", V1).server("s2", 8, "b", V1).server("s3", 8, "b", V2).publishFleet();
		SchedulingFixture.reportLoad(this.fleet, "b", "s1", 0, true);
		for (int i = 0; i < 4; i++) {
			assertThat(server(submit(tier))).isEqualTo("s2");
		}
	}

	// A queued request would move to a server with room of another version.
	@Test
	void queuedRequestIsNotMovedToAnotherVersion() {
		Caller waiting = queueAtTheOnlyServerOfV1(Tier.STANDARD);
		this.fleet.advanceAndDeliver(Duration.ofSeconds(5));
		assertThat(waiting.isWaiting()).isTrue();
	}

	// A request bound to its version would wait at a full server for no reason.
	@Test
	void queuedRequestMovesToAServerOfItsVersion() {
		Caller waiting = queueAtTheOnlyServerOfV1(Tier.STANDARD);
		this.fleet.server("s3", 8, "b", V1).publishFleet();
		this.fleet.advanceAndDeliver(Duration.ofSeconds(5));
		assertThat(server(waiting)).isEqualTo("s3");
	}

	// The queue of a replaced server is handed to its successor of another version.
	@ParameterizedTest
	@EnumSource(names = { "STANDARD", "BATCH" })
	void queuedRequestIsNotHandedToAReplacementOfAnotherVersion(Tier tier) {
		Caller waiting = queueAtTheOnlyServerOfV1(tier);
		this.fleet.replaceServer("s1", V2);
		this.fleet.publishFleet();
		this.fleet.advanceAndDeliver(SECOND);
		assertThat(waiting.refusal().reason()).isEqualTo(RefusalReason.NO_BACKEND_SERVER);
		assertThat(this.fleet.scheduler("a").running()).isEqualTo(1);
		// The entry goes on reporting the run that began at the former process.
		assertThat(occupied("s1")).isEqualTo(1);
	}

	// The request would be refused although its version still has a server with room.
	@ParameterizedTest
	@EnumSource(names = { "STANDARD", "BATCH" })
	void queuedRequestGoesElsewhereWhenItsServerIsReplaced(Tier tier) {
		Caller waiting = queueAtTheOnlyServerOfV1(tier);
		this.fleet.server("s3", 8, "b", V1);
		this.fleet.replaceServer("s1", V2);
		this.fleet.publishFleet();
		this.fleet.deliver();
		assertThat(server(waiting)).isEqualTo("s3");
	}

	// A grant sent by the former process would be used on its replacement.
	@ParameterizedTest
	@EnumSource
	void grantUnderWayIsReturnedWhenTheServerIsReplaced(Tier tier) {
		this.fleet.server("s1", 8, "b", V1).publishFleet();
		Caller caller = this.fleet.submit("a", request(tier));
		this.fleet.deliver(this.fleet.sent.remove(0));
		assertThat(this.fleet.sent).anyMatch((sent) -> sent.message() instanceof PermitGrant);
		this.fleet.replaceServer("s1", V2);
		this.fleet.publishFleetTo("a");
		this.fleet.deliver();
		this.fleet.advanceAndDeliver(SECOND);
		assertThat(caller.isGranted()).isFalse();
		assertThat(caller.refusal().reason()).isEqualTo(RefusalReason.NO_BACKEND_SERVER);
		assertThat(occupied("s1")).isZero();
	}

	// The daemon that both submits and owns would keep its request through the
	// replacement.
	@Test
	void ownQueueIsNotHandedToAReplacementOfAnotherVersion() {
		this.fleet.server("s1", 2, "a", V1).publishFleet();
		SchedulingFixture.reportLoad(this.fleet, "a", "s1", 0, false);
		SchedulingFixture.fill(this.fleet, "a", Tier.STANDARD, 1);
		Caller waiting = submit(Tier.STANDARD);
		assertThat(waiting.isWaiting()).isTrue();
		this.fleet.replaceServer("s1", V2);
		this.fleet.publishFleet();
		this.fleet.advanceAndDeliver(SECOND);
		assertThat(waiting.isGranted()).isFalse();
		assertThat(occupied("s1")).isZero();
	}

	// Asking the new owner of a server must not skip the check of its version.
	@Test
	void newOwnerOfAReplacementOfAnotherVersionIsNotAsked() {
		Caller waiting = queueAtTheOnlyServerOfV1(Tier.STANDARD);
		this.fleet.replaceServer("s1", V2);
		this.fleet.owners.put(BackendServerId.of("s1"), DaemonId.of("a"));
		this.fleet.publishFleet();
		this.fleet.advanceAndDeliver(SECOND);
		assertThat(waiting.isGranted()).isFalse();
		assertThat(waiting.isRefused()).isTrue();
	}

	// The caller would wait, or hear of overload, where nothing can ever run its request.
	@ParameterizedTest
	@EnumSource
	void requestIsRefusedAtOnceIfNoServerHasItsVersion(Tier tier) {
		this.fleet.server("s1", 8, "b", V2).server("s2", 8, "a", SoftwareVersion.UNKNOWN).publishFleet();
		Caller caller = submit(tier);
		assertThat(caller.refusal().reason()).isEqualTo(RefusalReason.NO_BACKEND_SERVER);
		assertThat(caller.refusal().reason().outcome()).isEqualTo(Outcome.NOT_RUN);
		assertThat(caller.refusal().detail()).contains("version v1");
	}

	// Requests that begin a stream must not be bound to a version.
	@Test
	void requestWithoutRequiredVersionRunsOnAnyVersion() {
		this.fleet.server("s1", 4, "b", V1).server("s2", 4, "b", V2).publishFleet();
		this.fleet.advanceAndDeliver(Duration.ofSeconds(2));
		List<Caller> callers = SchedulingFixture.fill(this.fleet, "a", Tier.STANDARD, 4);
		assertThat(callers).allMatch(Caller::isGranted);
		assertThat(callers).extracting(SoftwareVersionSchedulingTests::server).contains("s1", "s2");
	}

	// In a large pool the sample rarely contains the few servers of the version.
	@ParameterizedTest
	@ValueSource(strings = { "a", "b" })
	void fewServersOfTheVersionInALargePoolAreFilledEvenly(String owner) {
		for (int i = 0; i < 58; i++) {
			this.fleet.server("other" + i, 4, owner, V2);
		}
		this.fleet.server("s1", 4, owner, V1).server("s2", 4, owner, V1).publishFleet();
		SchedulingFixture.reportLoad(this.fleet, owner, "s1", 0, false);
		SchedulingFixture.reportLoad(this.fleet, owner, "s2", 0, false);
		List<Caller> callers = new ArrayList<>();
		for (int i = 0; i < 6; i++) {
			callers.add(submit(Tier.STANDARD));
		}
		assertThat(callers).allMatch(Caller::isGranted);
		assertThat(callers).extracting(SoftwareVersionSchedulingTests::server).containsOnly("s1", "s2");
	}

	// A failed server of another version would get the stream as its probe.
	@Test
	void isolatedServerOfAnotherVersionIsNotProbed() {
		this.fleet.server("s1", 8, "a", V1).server("s2", 8, "a", V2).publishFleet();
		for (int failures = 0; failures < 3; failures++) {
			Caller caller = this.fleet.submit("a", excluding(this.fleet.request(Tier.STANDARD), "s1"));
			assertThat(server(caller)).isEqualTo("s2");
			caller.end(RunEnd.NOT_CONNECTED);
		}
		for (int i = 0; i < 100; i++) {
			Caller caller = submit(Tier.STANDARD);
			assertThat(server(caller)).isEqualTo("s1");
			caller.complete(Duration.ofMillis(10), Duration.ofMillis(20));
			this.fleet.advanceAndDeliver(Duration.ofMillis(100));
		}
	}

	// A request would move back to a server on which it has failed before.
	@Test
	void queuedRequestIsNotMovedToAnExcludedServer() {
		this.fleet.server("s1", 2, "b").server("s2", 8, "b").publishFleet();
		SchedulingFixture.reportLoad(this.fleet, "b", "s1", 0, false);
		List<Caller> callers = new ArrayList<>();
		for (int i = 0; i < 2; i++) {
			callers.add(this.fleet.submit("a", excluding(this.fleet.request(Tier.STANDARD), "s2")));
			this.fleet.deliver();
		}
		assertThat(callers.get(1).isWaiting()).isTrue();
		this.fleet.advanceAndDeliver(Duration.ofSeconds(5));
		assertThat(callers.get(1).isWaiting()).isTrue();
	}

	private static SchedulingRequest excluding(SchedulingRequest request, String server) {
		return new SchedulingRequest(request.id(), request.pool(), request.organisation(), request.tier(),
				request.rank(), request.estimate(), request.prefixHash(), request.fingerprint(),
				RunningPolicy.CANCELLABLE, request.organisationLimit(), request.organisationTokens(),
				Set.of(BackendServerId.of(server)), request.arrival(), request.startDeadlines(), request.deadline());
	}

	private int occupied(String server) {
		return this.fleet.schedulers.values()
			.stream()
			.flatMap((scheduler) -> scheduler.states().stream())
			.filter((state) -> state.backendServer().value().equals(server))
			.mapToInt((state) -> state.running())
			.sum();
	}

}
