package org.sardineport.daemon.exchange;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sardineport.core.admission.SchedulingRequest;
import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.exchange.RetryBudget;
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.FleetView;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.journal.AcceptDecision;
import org.sardineport.core.journal.DispatchedRun;
import org.sardineport.core.journal.IdempotencyKey;
import org.sardineport.core.journal.JournalClaim;
import org.sardineport.core.journal.KeyPhase;
import org.sardineport.core.journal.KeyedRequest;
import org.sardineport.core.request.Fingerprint;
import org.sardineport.core.request.RunningPolicy;
import org.sardineport.core.request.Tier;
import org.sardineport.core.request.TokenEstimate;
import org.sardineport.daemon.engine.HttpModelEngine;
import org.sardineport.daemon.http.ContextExecutor;
import org.sardineport.daemon.telemetry.Telemetry;
import org.sardineport.daemon.time.SteadyInstantSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the takeover of requests that a failed daemon had dispatched.
 */
class DurableTakeoverTests {

	private static final PoolName POOL = PoolName.of("model");

	private static final OrganisationId ORGANISATION = OrganisationId.of("schools");

	private final Vertx vertx = Vertx.vertx();

	private final SteadyInstantSource clock = SteadyInstantSource.create();

	private final FakeJournal journal = new FakeJournal();

	private final RunServices services = RunServices.create(new FakeScheduler(this.clock), this.journal,
			HttpModelEngine.create(this.vertx, this.clock), this.clock, Telemetry.create(), RetryBudget.create(), 1024);

	private final RequestRunner runner = RequestRunner.create(this.services, 0);

	@AfterEach
	void close() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	private JournalClaim claim(Instant deadline) {
		IdempotencyKey key = new IdempotencyKey(ORGANISATION, "k1", this.clock.instant());
		Fingerprint fingerprint = Fingerprint.of(1, 2);
		SchedulingRequest scheduling = new SchedulingRequest(RequestId.of("r1"), POOL, ORGANISATION, Tier.BATCH,
				TokenEstimate.NONE, 0, fingerprint, RunningPolicy.CANCELLABLE, 0, this.clock.instant(), deadline);
		AcceptDecision decision = this.journal
			.accept(new KeyedRequest(key, fingerprint, true, "POST", "/v1/x", Map.of(), new byte[0], scheduling,
					deadline))
			.toCompletableFuture()
			.join();
		return ((AcceptDecision.Accepted) decision).claim();
	}

	private DurableTakeover takeover(NetworkAddress address) {
		BackendServer server = new BackendServer(BackendServerId.of("s1"), BackendKind.MODEL_ENGINE, POOL,
				FailureDomain.of("bole"), address, 1);
		FleetSnapshot snapshot = new FleetSnapshot(DaemonId.of("d0"), List.of(), List.of(server));
		return DurableTakeover.create(this.runner, this.services, new FixedFleet(snapshot),
				() -> ContextExecutor.create(this.vertx));
	}

	// A planned stop ended a daemon that still collected the response of a dead one.
	@Test
	void collectionOfAResponseCountsAsInFlightUntilItsEnd() {
		NetServer silent = this.vertx.createNetServer().connectHandler((socket) -> {
		});
		silent.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join();
		Instant deadline = this.clock.instant().plus(Duration.ofSeconds(1));
		JournalClaim claim = claim(deadline);
		takeover(NetworkAddress.of("127.0.0.1", silent.actualPort()))
			.resume(new DispatchedRun(claim, BackendServerId.of("s1"), "stream-1", deadline));
		assertThat(this.runner.inFlight()).isOne();
		this.runner.whenDrained().toCompletableFuture().orTimeout(10, TimeUnit.SECONDS).join();
		assertThat(this.journal.lookup(ORGANISATION, "k1").toCompletableFuture().join().phase())
			.isEqualTo(KeyPhase.FINISHED);
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
