package org.sardineport.daemon.scheduling;

import java.lang.reflect.Proxy;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sardineport.core.admission.Permit;
import org.sardineport.core.admission.PermitListener;
import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.admission.RunMeasurement;
import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.FleetView;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.port.backend.ModelEngine;
import org.sardineport.core.port.peer.PeerTransport;
import org.sardineport.core.request.Fingerprint;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;
import org.sardineport.core.request.RunningPolicy;
import org.sardineport.core.request.Tier;
import org.sardineport.core.request.TokenEstimate;
import org.sardineport.core.scheduling.OwnerLookup;
import org.sardineport.daemon.telemetry.Telemetry;
import org.sardineport.daemon.time.SteadyInstantSource;
import org.sardineport.settings.SchedulingSettings;

import static org.assertj.core.api.Assertions.assertThat;

class SchedulingServiceTests {

	private static final NetworkAddress ADDRESS = NetworkAddress.of("127.0.0.1", 9);

	private static final FailureDomain DOMAIN = FailureDomain.of("bole");

	private static final DaemonId SELF = DaemonId.of("a");

	private SchedulingService duty;

	private SchedulingService start(List<BackendServer> servers) {
		Member self = new Member(SELF, 1, MemberStatus.ALIVE, DOMAIN, ADDRESS, ADDRESS, 0, 0);
		FleetSnapshot snapshot = new FleetSnapshot(SELF, List.of(self), servers);
		this.duty = SchedulingService.create(SchedulingSettings.defaults(), new FixedFleet(snapshot),
				OwnerLookup.rendezvous(), noOp(PeerTransport.class), noOp(ModelEngine.class),
				SteadyInstantSource.create(), new SplittableRandom(1), Telemetry.create());
		this.duty.start().toCompletableFuture().join();
		return this.duty;
	}

	/**
	 * Returns a port whose methods do nothing and whose stages never complete.
	 */
	private static <T> T noOp(Class<T> port) {
		return port.cast(Proxy.newProxyInstance(port.getClassLoader(), new Class<?>[] { port }, (proxy, method,
				arguments) -> (method.getReturnType() != void.class) ? new CompletableFuture<>() : null));
	}

	private static BackendServer server() {
		return new BackendServer(BackendServerId.of("s1"), BackendKind.MODEL_ENGINE, PoolName.of("model"), DOMAIN,
				ADDRESS, 4);
	}

	private static SchedulingRequest request() {
		Instant now = Instant.now();
		return new SchedulingRequest(RequestId.of("r1"), PoolName.of("model"), OrganisationId.of("o"), Tier.STANDARD,
				TokenEstimate.of(10, 10), 0, Fingerprint.of(1, 2), RunningPolicy.CANCELLABLE, 0, now,
				now.plus(Duration.ofMinutes(5)));
	}

	@AfterEach
	void stop() {
		this.duty.stop().toCompletableFuture().join();
	}

	@Test
	void grantsAndReleasesPermit() {
		start(List.of(server()));
		RecordedDecision decision = new RecordedDecision();
		this.duty.submit(request(), decision);
		Permit permit = decision.granted.join();
		assertThat(permit.backendServer()).isEqualTo(server());
		this.duty.release(permit, RunMeasurement.none(RunEnd.UNUSED));
	}

	@Test
	void refusesRequestWithoutBackendServer() {
		start(List.of());
		RecordedDecision decision = new RecordedDecision();
		this.duty.submit(request(), decision);
		assertThat(decision.refused.join().reason()).isEqualTo(RefusalReason.NO_BACKEND_SERVER);
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

	/**
	 * Records the scheduler's decision.
	 */
	private static final class RecordedDecision implements PermitListener {

		private final CompletableFuture<Permit> granted = new CompletableFuture<>();

		private final CompletableFuture<Refusal> refused = new CompletableFuture<>();

		@Override
		public void granted(Permit permit) {
			this.granted.complete(permit);
		}

		@Override
		public void refused(Refusal refusal) {
			this.refused.complete(refusal);
		}

		@Override
		public void preempted(Permit permit) {
		}

	}

}
