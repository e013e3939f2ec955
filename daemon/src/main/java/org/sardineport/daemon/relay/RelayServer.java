package org.sardineport.daemon.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Context;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.lifecycle.Service;
import org.sardineport.core.relay.ArrivalEstimate;
import org.sardineport.core.relay.MemoryHolder;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;
import org.sardineport.daemon.telemetry.EventLog;

/**
 * HTTP server that accepts callers' requests for forwarding.
 */
final class RelayServer implements Service {

	private static final EventLog LOG = EventLog.of(RelayServer.class);

	/** Maximum size of a request head, in bytes. */
	private static final int MAX_HEADER_BYTES = 64 * 1024;

	/** Maximum length of a request line, in bytes. */
	private static final int MAX_REQUEST_LINE_BYTES = 16 * 1024;

	/** Maximum number of connections that wait to be accepted. */
	private static final int BACKLOG = 1024;

	private static final int STATUS_BAD_REQUEST = 400;

	private final RelayServices services;

	private final NetworkAddress address;

	private final CallerConnections connections;

	private final IncompleteHeads incompleteHeads;

	private final ArrivalEstimate arrivals;

	private final AtomicInteger inFlight = new AtomicInteger();

	private final Map<HttpServerRequest, RelayExchange> exchanges = new HashMap<>();

	private final Context context;

	private @Nullable HttpServer server;

	private volatile long checkTimer = -1;

	private final DemandTimer ticks;

	private volatile boolean stopping;

	private volatile boolean refusing;

	private volatile boolean served;

	RelayServer(RelayServices services, NetworkAddress address, int maxConnections, IncompleteHeads incompleteHeads) {
		this.services = Objects.requireNonNull(services, "services must not be null");
		this.address = Objects.requireNonNull(address, "address must not be null");
		this.incompleteHeads = Objects.requireNonNull(incompleteHeads, "incompleteHeads must not be null");
		this.context = services.vertx().getOrCreateContext();
		this.arrivals = ArrivalEstimate.create(services.clock());
		this.connections = new CallerConnections(services.clock(),
				() -> services.inForce().current().callerLimits().idleTimeout(), maxConnections);
		this.ticks = new DemandTimer(services.vertx(), ArrivalEstimate.TICK, this::tick);
	}

	@Override
	public CompletionStage<Void> start() {
		HttpServerOptions options = ServerOptions.listeningAt(this.address)
			.setHandle100ContinueAutomatically(true)
			.setMaxHeaderSize(MAX_HEADER_BYTES)
			.setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
			.setTcpNoDelay(true)
			.setAcceptBacklog(BACKLOG);
		HttpServer created = this.services.vertx().createHttpServer(options).connectionHandler((connection) -> {
			if (this.connections.opened(connection)) {
				StrictRequestDecoder.install(connection, options, this.incompleteHeads);
				this.arrivals.connected();
				startTicks();
			}
		}).invalidRequestHandler(this::invalid).requestHandler(this::handle);
		this.server = created;
		this.context.runOnContext((ignored) -> startTimers());
		return created.listen().<Void>mapEmpty().toCompletionStage();
	}

	private void startTimers() {
		this.arrivals.listening();
		startTicks();
		this.checkTimer = this.services.vertx().setPeriodic(ArrivalEstimate.CHECK.toMillis(), (id) -> check());
	}

	private void check() {
		checkCallers();
		this.arrivals.checked();
	}

	private void startTicks() {
		if (this.ticks.start()) {
			this.services.overload().timerStarted();
		}
	}

	private boolean tick() {
		this.services.overload().ticked();
		return this.arrivals.ticked(!this.connections.isEmpty());
	}

	@Override
	public CompletionStage<Void> stop() {
		this.services.vertx().cancelTimer(this.checkTimer);
		this.ticks.cancel();
		HttpServer started = this.server;
		return (started != null) ? started.close().toCompletionStage() : CompletableFuture.completedStage(null);
	}

	/**
	 * Marks the server as stopping: each response from now on closes its connection, so
	 * that callers use another one, and requests that are not expected to end in time are
	 * refused. Safe for use by any thread.
	 * @param end time at which requests in flight are cut off; {@code null} if they never
	 * are
	 */
	void stopping(@Nullable Instant end) {
		this.stopping = true;
		if (end != null) {
			this.services.stop().stopping(end);
			this.context.runOnContext((ignored) -> answerAllInTime());
		}
	}

	private void checkCallers() {
		this.connections.closeIdle();
		this.incompleteHeads.closeOverdue(this.services.inForce().current().callerLimits().headTimeout());
		List.copyOf(this.exchanges.values()).forEach(RelayExchange::checkProgress);
		boolean found = true;
		while (found && this.services.callerMemory().isShort()) {
			Optional<RelayExchange> worst = MemoryHolder
				.worst(this.exchanges.values().stream().map(RelayExchange::holder).toList());
			worst.ifPresent(RelayExchange::giveUp);
			found = worst.isPresent();
		}
	}

	private void ended(HttpServerRequest request) {
		RelayExchange exchange = this.exchanges.remove(request);
		if (exchange != null) {
			exchange.releaseBody();
		}
	}

	private void answerAllInTime() {
		Instant latest = Objects.requireNonNull(this.services.stop().latestEnd(), "the stop must have begun");
		long left = Duration.between(this.services.clock().instant(), latest).toMillis();
		this.services.vertx()
			.setTimer(Math.max(1, left),
					(id) -> List.copyOf(this.exchanges.values()).forEach(RelayExchange::daemonEnds));
	}

	/**
	 * Refuses requests that arrive from now on. Safe for use by any thread.
	 */
	void refuseNewRequests() {
		this.refusing = true;
	}

	int inFlight() {
		return this.inFlight.get();
	}

	boolean hasServed() {
		return this.served;
	}

	private void invalid(HttpServerRequest request) {
		this.services.telemetry().refused(RefusalReason.INVALID_HEADER).inc();
		LOG.info("request.malformed", "remote", request.remoteAddress(), "cause", request.decoderResult().cause());
		request.response()
			.setStatusCode(STATUS_BAD_REQUEST)
			.putHeader("Connection", "close")
			.end()
			.onComplete((ignored) -> request.connection().close());
	}

	private StageTimes stagesBefore(HttpConnection connection, Instant arrival) {
		OptionalLong openedAt = this.connections.openedForFirst(connection);
		StageTimes stages = new StageTimes(this.services.telemetry(), this.services.clock(),
				openedAt.orElse(arrival.toEpochMilli()));
		if (openedAt.isPresent()) {
			stages.ended(RequestStage.ACCEPT, arrival.toEpochMilli());
		}
		stages.ended(RequestStage.READ);
		return stages;
	}

	private void handle(HttpServerRequest request) {
		this.inFlight.incrementAndGet();
		this.connections.requestStarted(request.connection());
		CallerResponse response = new CallerResponse(request, this.services.protocol(), this.services.callerMemory(),
				() -> this.stopping, () -> this.connections.isIdle(request.connection()), () -> {
					this.inFlight.decrementAndGet();
					ended(request);
					this.connections.requestEnded(request.connection());
				});
		Instant arrival = this.arrivals.arrival();
		this.services.overload().requestRead(Duration.between(arrival, this.services.clock().instant()));
		RelayExchange exchange = new RelayExchange(this.services, request, response, arrival,
				stagesBefore(request.connection(), arrival));
		this.exchanges.put(request, exchange);
		if (this.refusing) {
			exchange.refuseUnread(
					Refusal.retryAfter(RefusalReason.STOPPING, "this daemon stops", StopAdmission.RETRY_AFTER));
		}
		else {
			this.served = true;
			exchange.start();
		}
	}

}
