package org.sardineport.daemon.relay;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnectOptions;
import io.vertx.core.net.ProxyOptions;
import io.vertx.core.net.ProxyType;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.fleet.FleetView;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.relay.BackendPaths;
import org.sardineport.daemon.telemetry.EventLog;
import org.sardineport.daemon.telemetry.Telemetry;
import org.sardineport.wire.transport.PeerTokens;

/**
 * Opens connections to backend servers: directly, or through another daemon if this one
 * has no path. A connection is only reported as failed if another daemon could not open
 * it either, or none could be asked. Confined to the event loop.
 */
final class BackendConnector {

	/** Timeout for opening a direct connection. */
	static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

	/** Time without a direct connection after which another daemon is asked. */
	private static final Duration HELP_AFTER = Duration.ofMillis(100);

	/** Timeout for opening a connection through another daemon. */
	private static final Duration TUNNEL_TIMEOUT = Duration.ofMillis(300);

	/**
	 * Maximum number of daemons asked for one connection, as some may be cut off as well.
	 */
	private static final int MAX_HELPERS = 4;

	private static final EventLog LOG = EventLog.of(BackendConnector.class);

	private final Vertx vertx;

	private final HttpClientAgent client;

	private final InstantSource clock;

	private final FleetView fleet;

	private final BackendPaths paths;

	private final PeerTokens tokens;

	private final Telemetry telemetry;

	private PathListener listener = PathListener.NONE;

	private BackendConnector(Vertx vertx, InstantSource clock, FleetView fleet, BackendPaths paths, PeerTokens tokens,
			Telemetry telemetry) {
		this.vertx = Objects.requireNonNull(vertx, "vertx must not be null");
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
		this.fleet = Objects.requireNonNull(fleet, "fleet must not be null");
		this.paths = Objects.requireNonNull(paths, "paths must not be null");
		this.tokens = Objects.requireNonNull(tokens, "tokens must not be null");
		this.telemetry = Objects.requireNonNull(telemetry, "telemetry must not be null");
		this.client = vertx.createHttpClient(new HttpClientOptions().setKeepAlive(true)
			.setPipelining(false)
			.setDecompressionSupported(false)
			.setTcpNoDelay(true)
			.setConnectTimeout((int) CONNECT_TIMEOUT.toMillis()));
	}

	/**
	 * Returns a connector.
	 * @param vertx performs input and output
	 * @param clock a monotonic clock
	 * @param fleet view of the other daemons
	 * @param paths which paths are lost, by the same clock
	 * @param tokens authenticate this daemon to the others
	 * @param telemetry counts paths that are lost
	 * @return the connector
	 */
	static BackendConnector create(Vertx vertx, InstantSource clock, FleetView fleet, BackendPaths paths,
			PeerTokens tokens, Telemetry telemetry) {
		return new BackendConnector(vertx, clock, fleet, paths, tokens, telemetry);
	}

	/**
	 * Sets the listener. Must be called before the first connection.
	 * @param pathListener is told of paths that are lost and found again
	 */
	void listen(PathListener pathListener) {
		this.listener = Objects.requireNonNull(pathListener, "pathListener must not be null");
	}

	Future<Void> close() {
		return this.client.close();
	}

	boolean isLost(BackendServerId server) {
		return this.paths.isLost(server);
	}

	/**
	 * Opens a connection.
	 * @param server the backend server
	 * @return the connection, or a failure if none could be opened
	 */
	Future<OpenedConnection> connect(BackendServer server) {
		return isLost(server.id()) ? throughOthers(server, new ArrayList<>()) : directFirst(server);
	}

	/**
	 * Tries the lost paths that are due for a check. Must be called every few hundred
	 * milliseconds while a path is lost.
	 * @return whether a path is lost
	 */
	boolean checkLostPaths() {
		this.paths.takeDueChecks(this.fleet.current().backendServers(), this.clock.millis())
			.forEach((server) -> direct(server).onSuccess((open) -> {
				reached(server);
				open.close();
			}));
		return this.paths.isAnyLost();
	}

	private Future<HttpClientConnection> direct(BackendServer server) {
		return this.client.connect(new HttpConnectOptions().setHost(server.address().ip())
			.setPort(server.address().port())
			.setConnectTimeout(CONNECT_TIMEOUT.toMillis()));
	}

	private Future<OpenedConnection> directFirst(BackendServer server) {
		Promise<OpenedConnection> first = Promise.promise();
		Future<HttpClientConnection> direct = direct(server);
		long timer = this.vertx.setTimer(HELP_AFTER.toMillis(), (id) -> askOthers(server, direct, first));
		direct.onSuccess((open) -> {
			this.vertx.cancelTimer(timer);
			reached(server);
			deliver(OpenedConnection.direct(open), first);
		}).onFailure((cause) -> {
			if (this.vertx.cancelTimer(timer)) {
				askOthers(server, direct, first);
			}
		});
		return first.future();
	}

	private static void deliver(OpenedConnection open, Promise<OpenedConnection> first) {
		if (!first.tryComplete(open)) {
			open.http().close();
		}
	}

	private void askOthers(BackendServer server, Future<HttpClientConnection> direct, Promise<OpenedConnection> first) {
		throughOthers(server, new ArrayList<>()).onSuccess((open) -> {
			if (!direct.succeeded()) {
				lost(server, open);
			}
			deliver(open, first);
		}).onFailure((cause) -> direct.onFailure(first::tryFail));
	}

	private Future<OpenedConnection> throughOthers(BackendServer server, List<DaemonId> asked) {
		Optional<Member> helper = this.paths.helper(server, this.fleet.current(), asked, this.clock.millis());
		if (helper.isEmpty() || asked.size() >= MAX_HELPERS) {
			return Future.failedFuture("neither this daemon nor %s could connect".formatted(asked));
		}
		DaemonId id = helper.get().id();
		asked.add(id);
		return through(server, helper.get()).map((open) -> OpenedConnection.through(id, open)).recover((cause) -> {
			this.paths.recordFailure(id, this.clock.millis());
			return throughOthers(server, asked);
		});
	}

	private Future<HttpClientConnection> through(BackendServer server, Member helper) {
		ProxyOptions proxy = new ProxyOptions().setType(ProxyType.SOCKS5)
			.setHost(helper.peerAddress().ip())
			.setPort(helper.peerAddress().port())
			.setUsername(this.fleet.current().self().value())
			.setPassword(this.tokens.issue(helper.peerAddress()))
			.setConnectTimeout(TUNNEL_TIMEOUT);
		return this.client.connect(new HttpConnectOptions().setHost(server.id().value())
			.setPort(server.address().port())
			.setProxyOptions(proxy)
			.setConnectTimeout(TUNNEL_TIMEOUT.toMillis()));
	}

	private void lost(BackendServer server, OpenedConnection open) {
		if (this.paths.recordLost(server.id(), this.clock.millis())) {
			this.telemetry.counter("paths.lost").inc();
			LOG.warn("path.lost", "backend-server", server.id(), "address", server.address(), "reached-through",
					open.helper());
			this.listener.pathLost(server);
		}
	}

	private void reached(BackendServer server) {
		if (this.paths.recordReached(server.id())) {
			LOG.info("path.found-again", "backend-server", server.id(), "address", server.address());
			this.listener.pathFound(server);
		}
	}

}
