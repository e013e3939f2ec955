package org.sardineport.daemon.relay;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.random.RandomGenerator;

import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import org.sardineport.core.entry.EntrySelector;
import org.sardineport.core.fleet.FleetView;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.lifecycle.Service;
import org.sardineport.daemon.http.Readiness;
import org.sardineport.daemon.telemetry.PrometheusText;
import org.sardineport.daemon.telemetry.Telemetry;

/**
 * Auxiliary HTTP servers for readiness, the caller addresses of the fleet, and metrics.
 */
final class RelayEndpoints implements Service {

	/** Maximum number of addresses in one response. */
	private static final int MAX_ADDRESSES = 64;

	/** Time after which a connection without a request is closed. */
	private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);

	/** Interval between checks for idle connections, in milliseconds. */
	private static final long IDLE_CHECK_INTERVAL_MILLIS = 1000;

	private static final int STATUS_OK = 200;

	private static final int STATUS_NOT_FOUND = 404;

	private static final int STATUS_UNAVAILABLE = 503;

	private final Vertx vertx;

	private final RelaySettings settings;

	private final RelayProtocol protocol;

	private final FleetView fleet;

	private final EntrySelector selector;

	private final Readiness readiness;

	private final Telemetry telemetry;

	private final IncompleteHeads incompleteHeads;

	private final InstantSource clock;

	private final List<CallerConnections> connections = new ArrayList<>();

	private long idleCheckTimer = -1;

	private final List<HttpServer> servers = new ArrayList<>();

	RelayEndpoints(Vertx vertx, RelaySettings settings, RelayProtocol protocol, FleetView fleet, RandomGenerator random,
			Readiness readiness, Telemetry telemetry, IncompleteHeads incompleteHeads, InstantSource clock) {
		this.vertx = Objects.requireNonNull(vertx, "vertx must not be null");
		this.settings = settings;
		this.protocol = protocol;
		this.fleet = fleet;
		this.selector = EntrySelector.create(settings.keepTime(), random);
		this.readiness = readiness;
		this.telemetry = telemetry;
		this.incompleteHeads = incompleteHeads;
		this.clock = clock;
	}

	@Override
	public CompletionStage<Void> start() {
		this.idleCheckTimer = this.vertx.setPeriodic(IDLE_CHECK_INTERVAL_MILLIS,
				(id) -> this.connections.forEach(CallerConnections::closeIdle));
		return listen(this.settings.readinessAddress(), this.protocol.readinessPath(), this::ready)
			.compose((ignored) -> listen(this.settings.entryAddress(), this.protocol.entryPath(), this::entry))
			.compose((ignored) -> listen(this.settings.metricsAddress(), "/metrics", this::metrics))
			.toCompletionStage();
	}

	private Future<Void> listen(NetworkAddress address, String path, Handler<HttpServerRequest> handler) {
		HttpServerOptions options = ServerOptions.listeningAt(address);
		CallerConnections opened = new CallerConnections(this.clock, () -> IDLE_TIMEOUT,
				this.settings.callerCapacity().auxiliaryConnections());
		this.connections.add(opened);
		HttpServer server = this.vertx.createHttpServer(options).connectionHandler((connection) -> {
			if (opened.opened(connection)) {
				StrictRequestDecoder.install(connection, options, this.incompleteHeads);
			}
		}).requestHandler((request) -> {
			opened.requestStarted(request.connection());
			request.response().endHandler((ignored) -> opened.requestEnded(request.connection()));
			if (path.equals(request.path())) {
				handler.handle(request);
			}
			else {
				request.response().setStatusCode(STATUS_NOT_FOUND).end();
			}
		});
		this.servers.add(server);
		return server.listen().mapEmpty();
	}

	private void ready(HttpServerRequest request) {
		boolean isReady = this.readiness.blockers().isEmpty();
		request.response().setStatusCode(isReady ? STATUS_OK : STATUS_UNAVAILABLE).end();
	}

	private void entry(HttpServerRequest request) {
		Buffer body = this.protocol.writeEntryResponse(this.selector.selectAll(this.fleet.current(), MAX_ADDRESSES));
		request.response().putHeader("Content-Type", this.protocol.entryContentType()).end(body);
	}

	private void metrics(HttpServerRequest request) {
		request.response()
			.putHeader("Content-Type", PrometheusText.CONTENT_TYPE)
			.end(PrometheusText.write(this.telemetry.registry()));
	}

	@Override
	public CompletionStage<Void> stop() {
		this.vertx.cancelTimer(this.idleCheckTimer);
		CompletableFuture<?>[] closed = this.servers.stream()
			.map((server) -> server.close().toCompletionStage().toCompletableFuture())
			.toArray(CompletableFuture<?>[]::new);
		return CompletableFuture.allOf(closed);
	}

}
