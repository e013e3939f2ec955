package org.sardineport.daemon.stream;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.FleetView;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.stream.BegunRun;
import org.sardineport.core.stream.StreamKey;
import org.sardineport.core.stream.StreamOrigin;
import org.sardineport.core.stream.StreamRun;
import org.sardineport.core.stream.VersionHistory;
import org.sardineport.daemon.telemetry.Telemetry;
import org.sardineport.daemon.time.SteadyInstantSource;
import org.sardineport.standins.peer.InMemoryPeerNetwork;
import org.sardineport.standins.peer.InMemoryPeerTransport;
import org.sardineport.standins.peer.NetworkConditions;

import static org.assertj.core.api.Assertions.assertThat;

class StreamOriginServiceTests {

	private static final int DAEMONS = 6;

	private static final SoftwareVersion V1 = SoftwareVersion.of("v1");

	private static final SoftwareVersion V2 = SoftwareVersion.of("v2");

	private static final Duration KEEP = Duration.ofSeconds(30);

	private static final StreamRun RUN = new StreamRun(StreamKey.of(OrganisationId.of("o"), "id"), 7);

	private static final PoolName POOL = PoolName.of("pool");

	private static final Duration TIME_LIMIT = Duration.ofSeconds(20);

	private final SteadyInstantSource clock = SteadyInstantSource.create();

	private final InMemoryPeerNetwork network = InMemoryPeerNetwork.create(this.clock, new SplittableRandom(1),
			NetworkConditions.PERFECT);

	private final List<StreamOriginService> services = new ArrayList<>();

	private final List<InMemoryPeerTransport> transports = new ArrayList<>();

	private final List<Telemetry> telemetry = new ArrayList<>();

	private final InMemoryOriginStore store = new InMemoryOriginStore();

	private final SimulatedListReads reads = new SimulatedListReads(this.clock);

	private StreamOriginService service(FleetSnapshot snapshot, InMemoryPeerTransport transport, Telemetry counters) {
		return StreamOriginService.create(new FixedFleet(snapshot), this.reads, this.store, transport, this.clock,
				new SplittableRandom(2), counters);
	}

	private static Member member(int number) {
		NetworkAddress address = NetworkAddress.of("10.0.0.1", 1 + number);
		return new Member(DaemonId.of("daemon-" + number), 1, MemberStatus.ALIVE, FailureDomain.of("d" + number % 2),
				address, address, 0, 0);
	}

	@BeforeEach
	void start() {
		List<Member> members = new ArrayList<>();
		for (int i = 0; i < DAEMONS; i++) {
			members.add(member(i));
		}
		for (Member member : members) {
			InMemoryPeerTransport transport = this.network.transport(member.id(), 1, member.peerAddress());
			Telemetry counters = Telemetry.create();
			FleetSnapshot snapshot = new FleetSnapshot(member.id(), members, List.of());
			StreamOriginService service = service(snapshot, transport, counters);
			transport.start();
			service.start();
			this.transports.add(transport);
			this.services.add(service);
			this.telemetry.add(counters);
		}
	}

	@AfterEach
	void stop() {
		this.services.forEach((service) -> join(service.stop()));
	}

	private static <T> T join(CompletionStage<T> stage) {
		return stage.toCompletableFuture().orTimeout(10, TimeUnit.SECONDS).join();
	}

	// A stream must be found from any daemon after the one that served it was killed.
	@Test
	void everyOtherDaemonFindsTheVersionAfterTheServingDaemonIsGone() {
		this.reads.read(V1, V2);
		assertThat(join(this.services.get(0).dispatched(RUN, V1, KEEP))).isTrue();
		assertThat(join(this.services.get(0).begun(new BegunRun(RUN, V1, KEEP)))).isTrue();
		this.transports.get(0).stop();
		for (int i = 1; i < DAEMONS; i++) {
			assertThat(join(this.services.get(i).find(RUN.key(), POOL, TIME_LIMIT))).as("daemon %d", i)
				.isEqualTo(StreamOrigin.of(V1));
		}
		join(this.services.get(1).stop());
		assertThat(this.telemetry.get(1).counter("stream-origins.lookups.replica").getCount()).isOne();
		assertThat(this.telemetry.get(0).counter("stream-origins.reports.sent").getCount()).isGreaterThanOrEqualTo(3);
	}

	@Test
	void twoDaemonsAreToldOfAStreamOfTheOnlyVersion() {
		this.reads.read(V1);
		assertThat(join(this.services.get(0).dispatched(RUN, V1, KEEP))).isTrue();
		assertThat(this.telemetry.get(0).counter("stream-origins.reports.sent").getCount()).isEqualTo(2);
		this.transports.get(0).stop();
		for (int i = 1; i < DAEMONS; i++) {
			assertThat(join(this.services.get(i).find(RUN.key(), POOL, TIME_LIMIT))).as("daemon %d", i)
				.isEqualTo(StreamOrigin.of(V1));
		}
	}

	// A retry at another version must be what the others find.
	@Test
	void confirmedVersionSupersedesAnEarlierDispatch() {
		this.services.get(2).dispatched(RUN, V1, KEEP);
		this.services.get(2).dispatched(RUN, V2, KEEP);
		assertThat(join(this.services.get(2).begun(new BegunRun(RUN, V2, KEEP)))).isTrue();
		assertThat(join(this.services.get(3).find(RUN.key(), POOL, TIME_LIMIT))).isEqualTo(StreamOrigin.of(V2));
	}

	// A daemon that is cut off must hear that its version is not confirmed.
	@Test
	void cutOffDaemonGetsNoConfirmationAndFindsNothing() {
		this.transports.get(4).stop();
		this.services.get(4).dispatched(RUN, V1, KEEP);
		this.services.get(4).dispatched(RUN, V2, KEEP);
		assertThat(join(this.services.get(4).begun(new BegunRun(RUN, V2, KEEP)))).isFalse();
		StreamKey other = StreamKey.of(OrganisationId.of("o"), "other");
		assertThat(join(this.services.get(4).find(other, POOL, TIME_LIMIT))).isSameAs(StreamOrigin.UNKNOWN);
		join(this.services.get(4).stop());
		assertThat(this.telemetry.get(4).counter("stream-origins.unconfirmed").getCount()).isEqualTo(3);
	}

	// A caller must get an answer from a daemon whose service has stopped.
	@Test
	void lookupEndsAfterTheServiceHasStopped() {
		join(this.services.get(0).stop());
		assertThat(join(this.services.get(0).find(RUN.key(), POOL, TIME_LIMIT))).isSameAs(StreamOrigin.UNKNOWN);
		assertThat(join(this.services.get(0).begun(new BegunRun(RUN, V1, KEEP)))).isFalse();
	}

	/** Replaces all daemons by others that remember nothing. */
	private void replaceAll() {
		stop();
		this.transports.forEach(InMemoryPeerTransport::stop);
		this.services.clear();
		this.transports.clear();
		this.telemetry.clear();
		start();
	}

	private void awaitStored(int records) {
		long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
		while (this.store.size() < records) {
			assertThat(System.nanoTime()).as("time").isLessThan(deadline);
			Thread.onSpinWait();
		}
	}

	// After the loss of all daemons every stream was refused, though servers of its
	// version were there.
	@Test
	void streamsOfTwoVersionsAreFoundAfterTheLossOfAllDaemons() {
		this.reads.read(V1);
		this.services.get(0).dispatched(RUN, V1, KEEP);
		this.services.get(0).remember(new BegunRun(RUN, V1, KEEP));
		this.reads.read(V1, V2);
		StreamRun second = new StreamRun(StreamKey.of(OrganisationId.of("o"), "id-2"), 8);
		this.services.get(3).dispatched(second, V2, KEEP);
		this.services.get(3).remember(new BegunRun(second, V2, KEEP));
		awaitStored(2);
		replaceAll();
		assertThat(join(this.services.get(5).find(RUN.key(), POOL, TIME_LIMIT))).isEqualTo(StreamOrigin.of(V1));
		assertThat(join(this.services.get(5).find(second.key(), POOL, TIME_LIMIT))).isEqualTo(StreamOrigin.of(V2));
	}

	@Test
	void nothingIsStoredWhileThereIsOneVersion() {
		this.reads.read(V1);
		this.services.get(0).dispatched(RUN, V1, KEEP);
		this.services.get(0).remember(new BegunRun(RUN, V1, KEEP));
		join(this.services.get(0).find(RUN.key(), POOL, TIME_LIMIT));
		assertThat(this.store.calls()).isZero();
	}

	// An outage of the list must not end streams: the others would know of another
	// version.
	@Test
	void dispatchIsProofInAnOutageOfTheListIfMostOthersReply() {
		assertThat(join(this.services.get(0).dispatched(RUN, V1, KEEP))).isTrue();
		this.store.unreachable();
		assertThat(join(this.services.get(1).find(RUN.key(), POOL, TIME_LIMIT))).isEqualTo(StreamOrigin.of(V1));
	}

	// A dispatch that was told is no proof at a daemon whose list is old and that hears
	// little of others: another version may have been listed since and have begun the
	// stream.
	@Test
	void dispatchIsNoProofIfTheListIsOldAndMostOthersAreSilent() {
		assertThat(join(this.services.get(0).dispatched(RUN, V1, KEEP))).isTrue();
		for (int silent : List.of(0, 4, 5)) {
			this.transports.get(silent).stop();
		}
		assertThat(join(this.services.get(1).find(RUN.key(), POOL, TIME_LIMIT))).isSameAs(StreamOrigin.UNKNOWN);
		this.store.state(Map.of(POOL, V1));
		this.reads.answerWith(V1);
		assertThat(join(this.services.get(1).find(RUN.key(), POOL, TIME_LIMIT))).isEqualTo(StreamOrigin.of(V1));
	}

	@Test
	void firstEventIsToldToOthersWhileThereAreTwoVersions() {
		this.reads.read(V1, V2);
		this.store.unreachable();
		this.services.get(0).dispatched(RUN, V1, KEEP);
		assertThat(join(this.services.get(1).find(RUN.key(), POOL, TIME_LIMIT))).isSameAs(StreamOrigin.UNKNOWN);
		this.services.get(0).remember(new BegunRun(RUN, V1, KEEP));
		join(this.services.get(0).find(RUN.key(), POOL, TIME_LIMIT));
		assertThat(join(this.services.get(1).find(RUN.key(), POOL, TIME_LIMIT))).isEqualTo(StreamOrigin.of(V1));
	}

	// A daemon that must read the list before it can say which version brought the first
	// event reports late, and its callers may come back before that.
	@Test
	void lookupWaitsForTheReportOfTheFirstEvent() {
		this.reads.read(V1, V2);
		assertThat(join(this.services.get(0).dispatched(RUN, V1, KEEP))).isTrue();
		CompletionStage<StreamOrigin> found = this.services.get(1).find(RUN.key(), POOL, TIME_LIMIT);
		while (this.telemetry.get(1).counter("stream-origins.lookups.replica").getCount() == 0) {
			Thread.onSpinWait();
		}
		this.services.get(0).remember(new BegunRun(RUN, V1, KEEP));
		assertThat(join(found)).isEqualTo(StreamOrigin.of(V1));
	}

	@Test
	void streamGoesOnAtTheOnlyVersionAfterTheLossOfAllDaemons() {
		this.store.state(Map.of(POOL, V1));
		this.reads.answerWith(V1);
		assertThat(join(this.services.get(1).find(RUN.key(), POOL, TIME_LIMIT))).isEqualTo(StreamOrigin.of(V1));
	}

	// The statement is older than the replacement of all servers while no daemon ran.
	@Test
	void streamIsUnknownIfTheListShowsAnotherVersionThanTheStatement() {
		this.store.state(Map.of(POOL, V1));
		this.reads.answerWith(V2);
		assertThat(join(this.services.get(1).find(RUN.key(), POOL, TIME_LIMIT))).isSameAs(StreamOrigin.UNKNOWN);
	}

	@Test
	void streamIsUnknownIfThePoolMayHaveRunSeveralVersions() {
		this.reads.answerWith(V1);
		assertThat(join(this.services.get(1).find(RUN.key(), POOL, TIME_LIMIT))).isSameAs(StreamOrigin.UNKNOWN);
	}

	// A daemon that stood still or was cut off has an old list.
	@Test
	void streamIsUnknownIfTheListCannotBeReadAnew() {
		this.store.state(Map.of(POOL, V1));
		this.reads.read(V1);
		assertThat(join(this.services.get(1).find(RUN.key(), POOL, TIME_LIMIT))).isSameAs(StreamOrigin.UNKNOWN);
	}

	// A stream may have begun before the time that the statement covers.
	@Test
	void streamThatMayLastLongerThanVersionsAreObservedIsUnknown() {
		this.store.state(Map.of(POOL, V1));
		this.reads.answerWith(V1);
		assertThat(join(this.services.get(1).find(RUN.key(), POOL, VersionHistory.RETENTION)))
			.isSameAs(StreamOrigin.UNKNOWN);
	}

	@Test
	void streamIsUnknownIfTheStoreCannotBeReached() {
		this.store.state(Map.of(POOL, V1));
		this.store.unreachable();
		this.reads.answerWith(V1);
		assertThat(join(this.services.get(1).find(RUN.key(), POOL, TIME_LIMIT))).isSameAs(StreamOrigin.UNKNOWN);
	}

	/**
	 * Fleet view that never changes.
	 *
	 * @param current the snapshot
	 */
	private record FixedFleet(FleetSnapshot current) implements FleetView {

		@Override
		public void addListener(Consumer<FleetSnapshot> listener) {
		}

	}

}
