package org.sardineport.daemon.http;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.lifecycle.Service;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;

/**
 * HTTP server for callers. It serves the entry addresses and the states of keyed
 * requests, and passes all other requests to admission and scheduling.
 */
public final class CallerServer implements Service {

	private static final String ENTRY_PATH = "/v1/entry";

	private static final String KEYS_PREFIX = "/v1/requests/";

	private static final int MAX_HEADER_BYTES = 16 * 1024;

	private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

	private static final int WRITE_QUEUE_BYTES = 64 * 1024;

	private final Vertx vertx;

	private final NetworkAddress address;

	private final CallerServices services;

	private final RequestIds ids = RequestIds.create();

	private final AtomicInteger inFlight = new AtomicInteger();

	private final IdleConnections connections;

	private final EntryResource entry;

	private final KeyResource keys;

	private final StartupGate gate;

	private volatile boolean refusing;

	private volatile @Nullable CompletableFuture<Void> drained;

	private @Nullable HttpServer server;

	private CallerServer(Vertx vertx, NetworkAddress address, CallerServices services) {
		this.vertx = Objects.requireNonNull(vertx, "vertx must not be null");
		this.address = Objects.requireNonNull(address, "address must not be null");
		this.services = Objects.requireNonNull(services, "services must not be null");
		this.connections = new IdleConnections(vertx, IDLE_TIMEOUT,
				services.telemetry().counter("callers.idle-connections-closed"));
		this.entry = new EntryResource(services.fleet(), services.settings().keepTime());
		this.keys = new KeyResource(vertx, services);
		this.gate = new StartupGate(services.configuration(), services.backendsListed(), services.clock());
	}

	/**
	 * Returns a server that does not listen until it is started.
	 * @param vertx the Vert.x instance that runs the server
	 * @param address the address to listen on
	 * @param services the services that requests use
	 * @return the server
	 */
	public static CallerServer create(Vertx vertx, NetworkAddress address, CallerServices services) {
		return new CallerServer(vertx, address, services);
	}

	@Override
	public CompletionStage<Void> start() {
		HttpServerOptions options = new HttpServerOptions().setHost(this.address.ip())
			.setPort(this.address.port())
			.setHttp2ClearTextEnabled(false)
			.setMaxHeaderSize(MAX_HEADER_BYTES)
			.setTcpNoDelay(true);
		HttpServer created = this.vertx.createHttpServer(options)
			.connectionHandler(this.connections::opened)
			.requestHandler(this::handle);
		this.server = created;
		return created.listen().<Void>mapEmpty().toCompletionStage();
	}

	/**
	 * Refuses new requests from now on. Requests in flight continue, and entry addresses
	 * are still served.
	 */
	public void refuseNewRequests() {
		this.refusing = true;
	}

	/**
	 * Returns the number of requests whose responses have not ended.
	 * @return the number of requests in flight
	 */
	public int inFlight() {
		return this.inFlight.get();
	}

	/**
	 * Returns a stage that completes once no request is in flight. A later call replaces
	 * the stage of an earlier one.
	 * @return the stage, already complete if no request is in flight
	 */
	public CompletionStage<Void> whenDrained() {
		CompletableFuture<Void> future = new CompletableFuture<>();
		this.drained = future;
		if (this.inFlight.get() == 0) {
			future.complete(null);
		}
		return future;
	}

	@Override
	public CompletionStage<Void> stop() {
		HttpServer started = this.server;
		return (started != null) ? started.close().toCompletionStage() : CompletableFuture.completedStage(null);
	}

	private void handle(HttpServerRequest request) {
		RequestId id = this.ids.next();
		this.inFlight.incrementAndGet();
		this.connections.requestStarted(request.connection());
		HttpResponseSink sink = new HttpResponseSink(request, id.value(), this.services.telemetry(),
				this.entry::addresses, () -> onResponseEnd(request.connection()));
		request.response().setWriteQueueMaxSize(WRITE_QUEUE_BYTES);
		if (request.method().equals(HttpMethod.GET) && request.path().equals(ENTRY_PATH)) {
			this.entry.respond(sink);
		}
		else if (this.refusing) {
			BodyReader.discard(this.vertx, request);
			sink.refuse(Refusal.of(RefusalReason.STOPPING, "The daemon is stopping."));
		}
		else if (request.method().equals(HttpMethod.GET) && request.path().startsWith(KEYS_PREFIX)) {
			respondWithKey(request, sink);
		}
		else {
			new CallerExchange(this.vertx, this.services, this.gate, request, id, sink).start();
		}
	}

	private void respondWithKey(HttpServerRequest request, HttpResponseSink sink) {
		Refusal refusal = this.gate.configurationRefusal();
		if (refusal != null) {
			BodyReader.discard(this.vertx, request);
			sink.refuse(refusal);
		}
		else {
			this.keys.respond(request, request.path().substring(KEYS_PREFIX.length()), sink);
		}
	}

	private void onResponseEnd(HttpConnection connection) {
		this.connections.requestEnded(connection);
		CompletableFuture<Void> future = this.drained;
		if (this.inFlight.decrementAndGet() == 0 && future != null) {
			future.complete(null);
		}
	}

}
