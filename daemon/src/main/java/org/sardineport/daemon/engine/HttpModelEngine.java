package org.sardineport.daemon.engine;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.backend.LoadReport;
import org.sardineport.core.lifecycle.Service;
import org.sardineport.core.port.backend.BackendException;
import org.sardineport.core.port.backend.BackendFailure;
import org.sardineport.core.port.backend.BackendRequest;
import org.sardineport.core.port.backend.CacheEvent;
import org.sardineport.core.port.backend.EngineOrder;
import org.sardineport.core.port.backend.Exchange;
import org.sardineport.core.port.backend.ModelEngine;
import org.sardineport.core.port.backend.ResponseListener;

/**
 * HTTP/1.1 client for model engines and plain services. Each request is sent at most
 * once: the client neither retries nor follows redirects, and it closes idle connections
 * before the servers do. Thread-safe.
 */
public final class HttpModelEngine implements ModelEngine, Service {

	/**
	 * Must be shorter than the idle timeout of backend servers, so that no request is
	 * sent on a connection that the server is closing.
	 */
	private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(5);

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

	private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(2);

	private static final int MAX_CONNECTIONS_PER_SERVER = 1024;

	private static final byte[] NO_BODY = new byte[0];

	private final Vertx vertx;

	private final InstantSource clock;

	private final HttpClient client;

	private final ObjectMapper json = new ObjectMapper();

	private HttpModelEngine(Vertx vertx, InstantSource clock) {
		this.vertx = Objects.requireNonNull(vertx, "vertx must not be null");
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
		HttpClientOptions options = new HttpClientOptions().setKeepAlive(true)
			.setKeepAliveTimeout((int) IDLE_TIMEOUT.toSeconds())
			.setConnectTimeout((int) CONNECT_TIMEOUT.toMillis())
			.setTcpNoDelay(true);
		this.client = vertx.createHttpClient(options, new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_SERVER));
	}

	/**
	 * Creates a client whose connections run on the event loops of the given instance.
	 * @param vertx the instance; not closed by {@link #stop()}
	 * @param clock the clock that request deadlines refer to
	 * @return the client
	 */
	public static HttpModelEngine create(Vertx vertx, InstantSource clock) {
		return new HttpModelEngine(vertx, clock);
	}

	@Override
	public CompletionStage<Void> start() {
		return CompletableFuture.completedStage(null);
	}

	@Override
	public CompletionStage<Void> stop() {
		return this.client.close().toCompletionStage();
	}

	@Override
	public Exchange send(BackendServer server, BackendRequest request, ResponseListener listener) {
		HttpExchange exchange = new HttpExchange(this.vertx, server, listener,
				() -> cancelStream(server, request.streamId()));
		exchange.start(this.client, this.clock, request);
		return exchange;
	}

	@Override
	public Exchange resume(BackendServer server, String streamId, long fromByte, ResponseListener listener) {
		BackendRequest request = new BackendRequest(streamId, "GET", streamPath(streamId, "?from=" + fromByte),
				List.of(), NO_BODY, this.clock.instant().plus(Duration.ofHours(1)));
		HttpExchange exchange = new HttpExchange(this.vertx, server, new ResumeListener(server, listener),
				() -> cancelStream(server, streamId));
		exchange.start(this.client, this.clock, request);
		return exchange;
	}

	@Override
	public CompletionStage<Boolean> cancel(BackendServer server, String streamId) {
		return call(server, "POST", streamPath(streamId, "/cancel"), NO_BODY)
			.thenCompose((body) -> parse(body, CancelJson.class))
			.thenApply(CancelJson::ran);
	}

	@Override
	public CompletionStage<byte[]> exportCache(BackendServer server, String streamId) {
		return call(server, "POST", streamPath(streamId, "/export"), NO_BODY);
	}

	@Override
	public CompletionStage<Void> importCache(BackendServer server, String streamId, byte[] cache) {
		return call(server, "PUT", streamPath(streamId, "/cache"), cache).thenApply((body) -> null);
	}

	@Override
	public CompletionStage<LoadReport> load(BackendServer server) {
		return call(server, "GET", "/v1/load", NO_BODY).thenCompose((body) -> parse(body, LoadJson.class))
			.thenApply((report) -> report.toReport(server.id()));
	}

	@Override
	public CompletionStage<List<CacheEvent>> cacheEvents(BackendServer server, long afterSequence) {
		return call(server, "GET", "/v1/cache-events?after=" + afterSequence, NO_BODY)
			.thenCompose((body) -> parse(body, CacheEventJson[].class))
			.thenApply((events) -> List.of(events).stream().map(CacheEventJson::toEvent).toList());
	}

	@Override
	public CompletionStage<Void> order(BackendServer server, EngineOrder order) {
		try {
			byte[] body = this.json.writeValueAsBytes(OrderJson.of(order));
			return call(server, "POST", "/v1/orders", body).thenApply((response) -> null);
		}
		catch (IOException ex) {
			return CompletableFuture.failedStage(ex);
		}
	}

	@Override
	public CompletionStage<EngineOrder> currentOrder(BackendServer server) {
		return call(server, "GET", "/v1/orders/current", NO_BODY).thenCompose((body) -> parse(body, OrderJson.class))
			.thenApply(OrderJson::toOrder);
	}

	private CompletionStage<byte[]> call(BackendServer server, String method, String path, byte[] body) {
		ControlResponse response = new ControlResponse(server);
		Instant deadline = this.clock.instant().plus(CONTROL_TIMEOUT);
		BackendRequest request = new BackendRequest("control", method, path, List.of(), body, deadline);
		new HttpExchange(this.vertx, server, response, () -> {
		}).start(this.client, this.clock, request);
		return response.body();
	}

	private <T> CompletionStage<T> parse(byte[] body, Class<T> type) {
		try {
			return CompletableFuture.completedStage(this.json.readValue(body, type));
		}
		catch (IOException ex) {
			return CompletableFuture.failedStage(BackendException.of(BackendFailure.NOT_SUPPORTED,
					"control response is not valid JSON of the expected form", ex));
		}
	}

	private void cancelStream(BackendServer server, String streamId) {
		if (server.kind() == BackendKind.MODEL_ENGINE) {
			cancel(server, streamId);
		}
	}

	private static String streamPath(String streamId, String suffix) {
		return "/v1/streams/" + streamId + suffix;
	}

}
