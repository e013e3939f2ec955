package org.sardineport.daemon.relay;

import java.lang.reflect.Proxy;
import java.time.Clock;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.exchange.ResponseEnd;
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.FleetView;
import org.sardineport.core.fleet.ListRead;
import org.sardineport.core.fleet.ListReads;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.relay.BackendPaths;
import org.sardineport.daemon.telemetry.Telemetry;
import org.sardineport.wire.transport.PeerIdentity;
import org.sardineport.wire.transport.PeerTokens;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards which connections show that a process goes on.
 */
class ProcessLivenessTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private final Vertx vertx = Vertx.vertx();

	private final Context context = this.vertx.getOrCreateContext();

	private volatile Duration passed = Duration.ZERO;

	private final InstantSource clock = () -> Clock.systemUTC().instant().plus(this.passed);

	private final BackendConnections connections = connections();

	private final ProcessLiveness liveness = ProcessLiveness.create(this.vertx, this.clock, this.connections,
			Telemetry.create());

	private final BackendServer server = new BackendServer(BackendServerId.of("server"), BackendKind.MODEL_ENGINE,
			PoolName.of("pool"), FailureDomain.of("zone"), serverThatClosesItsFirstConnection(), 1);

	@AfterEach
	void close() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	private NetworkAddress serverThatClosesItsFirstConnection() {
		AtomicBoolean closed = new AtomicBoolean();
		NetServer listening = this.vertx.createNetServer().connectHandler((socket) -> closeOnce(socket, closed));
		int port = listening.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join().actualPort();
		return NetworkAddress.of("127.0.0.1", port);
	}

	private static void closeOnce(NetSocket socket, AtomicBoolean closed) {
		if (closed.compareAndSet(false, true)) {
			socket.close();
		}
	}

	private BackendConnections connections() {
		NetworkAddress peers = NetworkAddress.of("127.0.0.1", 9);
		PeerIdentity identity = new PeerIdentity("fleet", DaemonId.of("daemon"), 1, peers, List.of("k".repeat(32)));
		FleetSnapshot alone = new FleetSnapshot(DaemonId.of("daemon"), List.of(), List.of());
		FleetView fleet = (FleetView) Proxy.newProxyInstance(FleetView.class.getClassLoader(),
				new Class<?>[] { FleetView.class }, (proxy, method, arguments) -> alone);
		ListReads reads = (ListReads) Proxy.newProxyInstance(ListReads.class.getClassLoader(),
				new Class<?>[] { ListReads.class }, (proxy, method, arguments) -> ListRead.NONE);
		BackendConnector connector = BackendConnector.create(this.vertx, this.clock, fleet,
				BackendPaths.create(new SplittableRandom(1)), PeerTokens.create(identity, this.clock),
				Telemetry.create());
		return BackendConnections.create(this.vertx, this.clock, connector, fleet, reads);
	}

	private <T> T onContext(Supplier<Future<T>> call) throws Exception {
		CompletableFuture<T> result = new CompletableFuture<>();
		this.context
			.runOnContext((ignored) -> call.get().onSuccess(result::complete).onFailure(result::completeExceptionally));
		return result.get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
	}

	private BackendConnection ended() throws Exception {
		BackendConnection connection = onContext(() -> this.connections.acquire(this.server, Duration.ZERO));
		long deadline = System.nanoTime() + TIMEOUT.toNanos();
		while (!onContext(() -> Future.succeededFuture(connection.isClosedByServer()))) {
			assertThat(System.nanoTime()).as("time").isLessThan(deadline);
			Thread.sleep(1);
		}
		return connection;
	}

	private ResponseEnd endWithNewConnectionAfter(Duration time) throws Exception {
		BackendConnection ended = ended();
		this.passed = time;
		return onContext(() -> {
			this.connections.verifyPath(this.server);
			return this.liveness.endOf(this.server, ended, true);
		});
	}

	@Test
	void connectionThatIsOpenedAtTheEndShowsThatTheProcessGoesOn() throws Exception {
		assertThat(endWithNewConnectionAfter(Duration.ZERO)).isEqualTo(ResponseEnd.CLOSED_BY_LIVE_PROCESS);
	}

	// Guards against streams of a killed process that end as complete, as the connection
	// that was being opened beside them leads to the process that has started again.
	@Test
	void connectionThatIsOpenedLaterShowsNothing() throws Exception {
		Duration later = CrashDetector.WINDOW.plusMillis(1);
		assertThat(endWithNewConnectionAfter(later)).isEqualTo(ResponseEnd.CLOSED);
	}

}
