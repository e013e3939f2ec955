package org.sardineport.daemon.rollout;

import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.admission.RunMeasurement;
import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.rollout.RolloutOrder;
import org.sardineport.core.rollout.RolloutSettings;
import org.sardineport.core.rollout.RolloutState;
import org.sardineport.core.rollout.RolloutStatus;
import org.sardineport.core.rollout.VersionGates;
import org.sardineport.daemon.telemetry.Telemetry;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Failures of the store and of the coordinator during a rollout, with three daemons in
 * one process.
 */
class RolloutServiceTests {

	private static final PoolName POOL = PoolName.of("pool");

	private static final BackendServer OLD = server("old", "v1");

	private static final BackendServer TARGET = server("new", "v2");

	private static final RolloutSettings SETTINGS = new RolloutSettings(0.1, 50, Duration.ofSeconds(5));

	private static final Duration PATIENCE = Duration.ofSeconds(60);

	private final List<Daemon> daemons = new ArrayList<>();

	private final SimulatedRolloutStore store = new SimulatedRolloutStore();

	private final DirectNetwork network = new DirectNetwork();

	private Vertx vertx;

	@BeforeEach
	void createDaemons() {
		this.vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
		Map<DaemonId, NetworkAddress> addresses = new LinkedHashMap<>();
		for (int i = 0; i < 3; i++) {
			this.daemons.add(new Daemon(DaemonId.of("d" + i), NetworkAddress.of("127.0.0.1", 100 + i)));
			addresses.put(this.daemons.get(i).id, this.daemons.get(i).address);
		}
		this.daemons.forEach((daemon) -> {
			daemon.fleet.set(addresses, List.of(OLD, TARGET));
			daemon.service.ordersRead();
		});
	}

	@AfterEach
	void close() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	// A faulty version went on at daemons that did not coordinate.
	@Test
	void faultyVersionIsClosedAtEachDaemon() {
		order(Duration.ofSeconds(600));
		awaitRunning();
		this.daemons.forEach((daemon) -> daemon.run(TARGET, 20, RunEnd.REJECTED));
		await(() -> this.store.states().contains(RolloutState.ROLLED_BACK));
		await(() -> this.daemons.stream().noneMatch((daemon) -> daemon.takes(TARGET, null)));
		assertThat(this.daemons).allMatch((daemon) -> daemon.takes(OLD, null));
		assertThat(this.daemons).noneMatch((daemon) -> daemon.takes(TARGET, TARGET.softwareVersion()));
	}

	// A write that had been done but not answered was repeated, or the rollout stayed
	// open.
	@Test
	void unansweredWritesAreNotRepeated() {
		this.store.loseAnswers(1);
		order(Duration.ofSeconds(600));
		awaitRunning();
		this.store.loseAnswers(1);
		this.daemons.forEach((daemon) -> daemon.run(TARGET, 20, RunEnd.REJECTED));
		await(() -> this.store.states().contains(RolloutState.ROLLED_BACK));
		await(() -> this.daemons.stream().noneMatch((daemon) -> daemon.takes(TARGET, null)));
		assertThat(this.store.states()).containsOnlyOnce(RolloutState.ROLLED_BACK);
	}

	// A version was taken back by nobody while the store was down.
	@Test
	void faultyVersionIsClosedWhileTheStoreIsDown() {
		order(Duration.ofSeconds(600));
		awaitRunning();
		this.store.setDown(true);
		this.daemons.forEach((daemon) -> daemon.run(TARGET, 20, RunEnd.REJECTED));
		await(() -> this.daemons.stream().noneMatch((daemon) -> daemon.takes(TARGET, TARGET.softwareVersion())));
		assertThat(this.store.states()).doesNotContain(RolloutState.ROLLED_BACK);
		this.store.setDown(false);
		await(() -> this.store.states().contains(RolloutState.ROLLED_BACK));
	}

	// A rollout stayed as it was after the loss of its coordinator.
	@Test
	void anotherDaemonTakesOverFromALostCoordinator() {
		order(Duration.ofSeconds(600));
		awaitRunning();
		Daemon lost = this.daemons.stream().filter(Daemon::isCoordinator).findFirst().orElseThrow();
		lost.transport.cutOff();
		await(() -> this.daemons.stream().anyMatch((daemon) -> daemon != lost && daemon.isCoordinator()));
		this.daemons.stream()
			.filter((daemon) -> daemon != lost)
			.forEach((daemon) -> daemon.run(TARGET, 20, RunEnd.REJECTED));
		await(() -> this.store.states().contains(RolloutState.ROLLED_BACK));
	}

	// A daemon that started after the end of a rollout began it anew.
	@Test
	void orderThatIsOverIsNotBegunAgain() {
		this.store.put(new RolloutStatus(POOL, RolloutState.ROLLED_BACK, TARGET.softwareVersion(), 7));
		order(Duration.ofSeconds(600));
		await(() -> this.daemons.stream().noneMatch((daemon) -> daemon.takes(TARGET, TARGET.softwareVersion())));
		assertThat(this.store.states()).hasSize(1);
	}

	// Without settings for rollouts, versions were told apart.
	@Test
	void everyVersionTakesWorkWithoutSettings() {
		Daemon plain = new Daemon(DaemonId.of("plain"), NetworkAddress.of("127.0.0.1", 200), null);
		plain.service.ordered(new RolloutOrder(POOL, TARGET.softwareVersion(), Duration.ofSeconds(600), 7));
		plain.service.ordersRead();
		assertThat(plain.takes(TARGET, null)).isTrue();
		assertThat(plain.takes(OLD, null)).isTrue();
	}

	private void order(Duration duration) {
		RolloutOrder order = new RolloutOrder(POOL, TARGET.softwareVersion(), duration, 7);
		this.daemons.forEach((daemon) -> daemon.service.ordered(order));
	}

	private void awaitRunning() {
		await(() -> this.daemons.stream().anyMatch(Daemon::isCoordinator)
				&& this.store.states().contains(RolloutState.RUNNING));
		await(() -> this.daemons.stream().allMatch(Daemon::hasSampled));
	}

	private static void await(BooleanSupplier condition) {
		long end = System.nanoTime() + PATIENCE.toNanos();
		while (!condition.getAsBoolean()) {
			assertThat(System.nanoTime()).as("the condition must be met").isLessThan(end);
			try {
				Thread.sleep(20);
			}
			catch (InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		}
	}

	private static BackendServer server(String name, String version) {
		return new BackendServer(BackendServerId.of(name), BackendKind.MODEL_ENGINE, POOL, FailureDomain.of("a"),
				NetworkAddress.of("127.0.0.1", 1), 8, BackendServer.START_UNKNOWN, SoftwareVersion.of(version));
	}

	/**
	 * One daemon's part in rollouts.
	 */
	private final class Daemon {

		private final DaemonId id;

		private final NetworkAddress address;

		private final SimulatedFleet fleet;

		private final DirectNetwork.Endpoint transport;

		private final RolloutService service;

		private final Telemetry telemetry = Telemetry.create();

		Daemon(DaemonId id, NetworkAddress address) {
			this(id, address, SETTINGS);
		}

		Daemon(DaemonId id, NetworkAddress address, RolloutSettings settings) {
			this.id = id;
			this.address = address;
			this.fleet = new SimulatedFleet(id);
			this.transport = RolloutServiceTests.this.network.endpoint(id, address);
			this.service = RolloutService.create(RolloutServiceTests.this.vertx, settings, this.fleet, this.transport,
					RolloutServiceTests.this.store, (VersionGates gates) -> {
					}, Clock.systemUTC(), new SplittableRandom(id.hashCode()), this.telemetry);
		}

		boolean isCoordinator() {
			return this.telemetry.counter("rollout.claims").getCount() > 0;
		}

		boolean hasSampled() {
			return onContext(() -> this.service.sample(POOL).isPresent());
		}

		boolean takes(BackendServer server, SoftwareVersion required) {
			return onContext(() -> this.service.takes(server, required));
		}

		void run(BackendServer server, int count, RunEnd end) {
			onContext(() -> {
				for (int i = 0; i < count; i++) {
					this.service.dispatched(server);
					this.service.ended(server, "route", RunMeasurement.none(end));
				}
				return true;
			});
		}

		private boolean onContext(BooleanSupplier command) {
			CompletableFuture<Boolean> result = new CompletableFuture<>();
			RolloutServiceTests.this.vertx.getOrCreateContext()
				.runOnContext((ignored) -> result.complete(command.getAsBoolean()));
			return result.join();
		}

	}

}
