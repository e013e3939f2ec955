package org.sardineport.daemon.stream;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
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
import org.sardineport.core.stream.StreamKey;
import org.sardineport.core.stream.StreamOrigin;
import org.sardineport.core.stream.StreamRun;
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

	private final SteadyInstantSource clock = SteadyInstantSource.create();

	private final InMemoryPeerNetwork network = InMemoryPeerNetwork.create(this.clock, new SplittableRandom(1),
			NetworkConditions.PERFECT);

	private final List<StreamOriginService> services = new ArrayList<>();

	private final List<InMemoryPeerTransport> transports = new ArrayList<>();

	private final List<Telemetry> telemetry = new ArrayList<>();

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
			StreamOriginService service = StreamOriginService.create(new FixedFleet(snapshot), transport, this.clock,
					new SplittableRandom(2), counters);
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
		assertThat(join(this.services.get(0).dispatched(RUN, V1, KEEP))).isTrue();
		this.transports.get(0).stop();
		for (int i = 1; i < DAEMONS; i++) {
			assertThat(join(this.services.get(i).find(RUN.key()))).as("daemon %d", i).isEqualTo(StreamOrigin.of(V1));
		}
		join(this.services.get(1).stop());
		assertThat(this.telemetry.get(1).counter("stream-origins.lookups.replica").getCount()).isOne();
		assertThat(this.telemetry.get(0).counter("stream-origins.reports.sent").getCount()).isGreaterThanOrEqualTo(3);
	}

	// A retry at another version must be what the others find.
	@Test
	void confirmedVersionSupersedesAnEarlierDispatch() {
		this.services.get(2).dispatched(RUN, V1, KEEP);
		this.services.get(2).dispatched(RUN, V2, KEEP);
		assertThat(join(this.services.get(2).begun(RUN, V2, KEEP))).isTrue();
		assertThat(join(this.services.get(3).find(RUN.key()))).isEqualTo(StreamOrigin.of(V2));
	}

	// A daemon that is cut off must hear that its version is not confirmed.
	@Test
	void cutOffDaemonGetsNoConfirmationAndFindsNothing() {
		this.transports.get(4).stop();
		this.services.get(4).dispatched(RUN, V1, KEEP);
		this.services.get(4).dispatched(RUN, V2, KEEP);
		assertThat(join(this.services.get(4).begun(RUN, V2, KEEP))).isFalse();
		StreamKey other = StreamKey.of(OrganisationId.of("o"), "other");
		assertThat(join(this.services.get(4).find(other))).isSameAs(StreamOrigin.UNKNOWN);
		join(this.services.get(4).stop());
		assertThat(this.telemetry.get(4).counter("stream-origins.unconfirmed").getCount()).isEqualTo(3);
	}

	// A caller must get an answer from a daemon whose service has stopped.
	@Test
	void lookupEndsAfterTheServiceHasStopped() {
		join(this.services.get(0).stop());
		assertThat(join(this.services.get(0).find(RUN.key()))).isSameAs(StreamOrigin.UNKNOWN);
		assertThat(join(this.services.get(0).begun(RUN, V1, KEEP))).isFalse();
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
