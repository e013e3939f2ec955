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
 * HTTP server towards callers.
 */
public final class CallerServer implements Service {

	private static final String ENTRY_PATH = "/v1/entry";

	private static final String KEYS_PREFIX = "/v1/requests/";

	private static final int MAXIMUM_HEADER_BYTES = 16 * 1024;

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
	}

	/**
	 * Returns a server that is not started yet.
	 * @param vertx carries input and output
	 * @param address where to listen
	 * @param services what requests need
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
			.setMaxHeaderSize(MAXIMUM_HEADER_BYTES)
			.setTcpNoDelay(true);
		HttpServer created = this.vertx.createHttpServer(options)
			.connectionHandler(this.connections::opened)
			.requestHandler(this::handle);
		this.server = created;
		return created.listen().<Void>mapEmpty().toCompletionStage();
	}

	/**
	 * Refuses requests from now on; what is in flight goes on.
	 */
	public void refuseNewRequests() {
		this.refusing = true;
	}

	/**
	 * Returns the number of requests whose answers are not over.
	 * @return the number
	 */
	public int inFlight() {
		return this.inFlight.get();
	}

	/**
	 * Waits until no answer is outstanding.
	 * @return completes when none is left
	 */
	public CompletionStage<Void> whenDrained() {
		CompletableFuture<Void> waiting = new CompletableFuture<>();
		this.drained = waiting;
		if (this.inFlight.get() == 0) {
			waiting.complete(null);
		}
		return waiting;
	}

	@Override
	public CompletionStage<Void> stop() {
		HttpServer started = this.server;
		return (started != null) ? started.close().toCompletionStage() : CompletableFuture.completedStage(null);
	}

	private void handle(HttpServerRequest request) {
		RequestId id = this.ids.next();
		this.inFlight.incrementAndGet();
		this.connections.began(request.connection());
		HttpAnswerSink sink = new HttpAnswerSink(request, id.value(), this.services.telemetry(), this.entry::addresses,
				() -> end(request.connection()));
		request.response().setWriteQueueMaxSize(WRITE_QUEUE_BYTES);
		Refusal refusal = refusal();
		if (request.method().equals(HttpMethod.GET) && request.path().equals(ENTRY_PATH)) {
			this.entry.answer(sink);
		}
		else if (refusal != null) {
			BodyReader.discard(this.vertx, request);
			sink.refuse(refusal);
		}
		else if (request.method().equals(HttpMethod.GET) && request.path().startsWith(KEYS_PREFIX)) {
			this.keys.answer(request, request.path().substring(KEYS_PREFIX.length()), sink);
		}
		else {
			new CallerExchange(this.vertx, this.services, request, id, sink).start();
		}
	}

	private @Nullable Refusal refusal() {
		if (this.refusing) {
			return Refusal.of(RefusalReason.STOPPING, "The daemon is stopping.");
		}
		if (!this.services.configuration().isReady()) {
			return Refusal.of(RefusalReason.NOT_READY, "The daemon has not read the configuration yet.");
		}
		return null;
	}

	private void end(HttpConnection connection) {
		this.connections.ended(connection);
		CompletableFuture<Void> waiting = this.drained;
		if (this.inFlight.decrementAndGet() == 0 && waiting != null) {
			waiting.complete(null);
		}
	}

}
