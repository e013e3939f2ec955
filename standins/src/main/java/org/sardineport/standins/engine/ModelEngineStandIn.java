package org.sardineport.standins.engine;

import java.io.IOException;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.concurrent.CompletionStage;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.exchange.RequestHashes;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.lifecycle.Service;
import org.sardineport.standins.http.JsonResponses;
import org.sardineport.standins.http.LoadReportJson;
import org.sardineport.standins.http.StandInServer;

/**
 * Fake of a model engine over HTTP on a loopback port: chat completions with server-sent
 * events, control of streams and their KV cache, delayed load reports and cache events,
 * and fenced orders. Thread-safe: requests are handled on one Vert.x context.
 */
public final class ModelEngineStandIn implements Service {

	private static final int STATUS_OK = 200;

	private static final int STATUS_BAD_REQUEST = 400;

	private static final int STATUS_NOT_FOUND = 404;

	private static final int STATUS_CONFLICT = 409;

	private static final int STATUS_UNAVAILABLE = 503;

	private static final int BYTES_PER_TOKEN = 4;

	/** Percentage of a prompt's tokens that a cached prefix saves. */
	private static final int CACHED_PERCENT = 80;

	private static final long FREE_CACHE_TOKENS = 100_000;

	private static final int MAXIMUM_LOAD_SAMPLES = 1000;

	private static final String STREAMS_PATH = "/v1/streams/";

	private final StandInServer server;

	private final EngineOptions options;

	private final InstantSource clock;

	private final EngineFaults faults = new EngineFaults();

	private final EngineCounters counters = new EngineCounters();

	private final EngineBatch batch;

	private final PrefixCache cache;

	private final Deque<LoadReportJson> loadSamples = new ArrayDeque<>();

	private final ObjectMapper json = new ObjectMapper();

	private OrderRecord order = new OrderRecord("LOAD_MODEL", "none", -1);

	private volatile boolean leaving;

	private ModelEngineStandIn(Vertx vertx, InstantSource clock, EngineOptions options) {
		this.options = Objects.requireNonNull(options, "options must not be null");
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
		this.batch = new EngineBatch(vertx, options, this.faults, this.counters);
		this.cache = new PrefixCache(options.cachedPrefixes(), options.eventLag(), clock);
		this.server = StandInServer.create(vertx, this::handle);
	}

	/**
	 * Creates an engine that has not been started.
	 * @param vertx runs the HTTP server and the timers
	 * @param clock source of the engine's time
	 * @param options speed and capabilities of the engine
	 * @return the engine
	 */
	public static ModelEngineStandIn create(Vertx vertx, InstantSource clock, EngineOptions options) {
		return new ModelEngineStandIn(vertx, clock, options);
	}

	@Override
	public CompletionStage<Void> start() {
		return this.server.start();
	}

	@Override
	public CompletionStage<Void> stop() {
		return this.server.stop();
	}

	/**
	 * Returns the address at which the engine listens. Valid after the start.
	 * @return the loopback address
	 */
	public NetworkAddress address() {
		return this.server.address();
	}

	/**
	 * Returns the fault injection of the engine.
	 * @return the faults, which can be changed at any time
	 */
	public EngineFaults faults() {
		return this.faults;
	}

	/**
	 * Returns the counters of the engine.
	 * @return the counters, which go on counting
	 */
	public EngineCounters counters() {
		return this.counters;
	}

	/**
	 * Returns whether a slow reader has ever suspended the generation of a stream.
	 * @return whether a stream had to wait for a full write queue
	 */
	public boolean hasAppliedBackpressure() {
		return this.batch.backpressureCount() > 0;
	}

	/**
	 * Sets whether load reports announce that the engine is about to leave.
	 * @param isLeaving whether it is about to leave
	 */
	public void setLeaving(boolean isLeaving) {
		this.leaving = isLeaving;
	}

	/**
	 * Simulates a crash: drops all streams and the cache, and closes all connections.
	 * @return a stage that completes when the port is closed
	 */
	public CompletionStage<Void> crash() {
		this.server.execute(this::dropState);
		return this.server.crash();
	}

	/**
	 * Listens again on the same port after a crash.
	 * @return a stage that completes when the port is open
	 */
	public CompletionStage<Void> restart() {
		return this.server.restart();
	}

	private void dropState() {
		this.batch.clear();
		this.cache.clear();
	}

	private void handle(HttpServerRequest request) {
		request.bodyHandler((body) -> {
			try {
				route(request, body);
			}
			catch (IOException ex) {
				JsonResponses.status(request.response(), STATUS_BAD_REQUEST);
			}
		});
	}

	private void route(HttpServerRequest request, Buffer body) throws IOException {
		String path = request.path();
		HttpServerResponse response = request.response();
		if (path.equals("/v1/load")) {
			JsonResponses.json(response, STATUS_OK, delayedLoad());
		}
		else if (path.equals("/v1/cache-events")) {
			long after = Long.parseLong(request.getParam("after", "0"));
			JsonResponses.json(response, STATUS_OK, this.cache.events(after, this.faults.isDroppingEvents()));
		}
		else if (path.equals("/v1/orders/current")) {
			JsonResponses.json(response, STATUS_OK, this.order);
		}
		else if (path.equals("/v1/orders") && request.method().equals(HttpMethod.POST)) {
			acceptOrder(request, this.json.readValue(body.getBytes(), OrderRecord.class));
		}
		else if (path.startsWith(STREAMS_PATH)) {
			controlStream(request, path.substring(STREAMS_PATH.length()), body);
		}
		else if (request.method().equals(HttpMethod.POST)) {
			complete(request, body);
		}
		else {
			JsonResponses.status(response, STATUS_NOT_FOUND);
		}
	}

	private void complete(HttpServerRequest request, Buffer body) throws IOException {
		String text = body.toString();
		String id = request.getHeader("X-Request-Id");
		ChatRequest chat = ChatRequest.parse(body.getBytes());
		String tag = chat.tag();
		if (this.faults.isRefusing()) {
			JsonResponses.status(request.response(), STATUS_UNAVAILABLE);
			return;
		}
		this.counters.received(tag);
		if (this.faults.crashesOn(text)) {
			crash();
			return;
		}
		int prompt = Math.max(1, body.length() / BYTES_PER_TOKEN);
		boolean hit = this.cache.access(RequestHashes.prefix(body.getBytes()));
		EngineStream stream = new EngineStream((id != null) ? id : tag, tag, chat.stream(), prompt,
				(hit) ? prompt * CACHED_PERCENT / 100 : 0, chat.maximumTokens());
		attach(stream, request.response(), 0);
		this.batch.add(stream);
	}

	private void attach(EngineStream stream, HttpServerResponse response, int fromByte) {
		response.closeHandler((ignored) -> {
			if (stream.response() == response && !stream.isEnded()) {
				stream.detach();
				if (!this.options.resumesStreams()) {
					cancel(stream);
				}
			}
		});
		stream.attach(response, fromByte);
	}

	private boolean cancel(@Nullable EngineStream stream) {
		if (stream == null || !this.batch.remove(stream)) {
			return false;
		}
		this.counters.cancelled(stream);
		return true;
	}

	private void controlStream(HttpServerRequest request, String rest, Buffer body) throws IOException {
		int slash = rest.indexOf('/');
		String id = (slash < 0) ? rest : rest.substring(0, slash);
		String operation = (slash < 0) ? "" : rest.substring(slash + 1);
		EngineStream stream = this.batch.find(id);
		HttpServerResponse response = request.response();
		if (operation.equals("cancel")) {
			JsonResponses.json(response, STATUS_OK, new CancelledJson(cancel(stream)));
		}
		else if (!this.options.resumesStreams()) {
			JsonResponses.status(response, STATUS_NOT_FOUND);
		}
		else if (operation.equals("cache")) {
			this.batch.addSuspended(EngineStream.of(this.json.readValue(body.getBytes(), ExportJson.class)));
			JsonResponses.json(response, STATUS_OK, new CancelledJson(false));
		}
		else if (stream == null) {
			JsonResponses.status(response, STATUS_NOT_FOUND);
		}
		else if (operation.equals("export")) {
			this.batch.remove(stream);
			JsonResponses.json(response, STATUS_OK, stream.export());
		}
		else {
			continueStream(stream, response, Integer.parseInt(request.getParam("from", "0")));
		}
	}

	private void continueStream(EngineStream stream, HttpServerResponse response, int fromByte) {
		boolean suspended = stream.response() == null && !stream.isEnded() && !this.batch.isScheduled(stream);
		attach(stream, response, fromByte);
		if (stream.isEnded()) {
			response.end();
		}
		else if (suspended) {
			this.batch.resume(stream);
		}
	}

	private LoadReportJson delayedLoad() {
		LoadReportJson now = new LoadReportJson(this.batch.running(), this.batch.waiting(), FREE_CACHE_TOKENS,
				this.leaving, this.options.resumesStreams(), this.clock.instant().toString());
		this.loadSamples.add(now);
		if (this.loadSamples.size() > MAXIMUM_LOAD_SAMPLES) {
			this.loadSamples.removeFirst();
		}
		Instant visibleUntil = this.clock.instant().minus(this.options.loadLag());
		LoadReportJson visible = this.loadSamples.getFirst();
		for (LoadReportJson sample : this.loadSamples) {
			if (!Instant.parse(sample.observedAt()).isAfter(visibleUntil)) {
				visible = sample;
			}
		}
		return visible;
	}

	private void acceptOrder(HttpServerRequest request, OrderRecord newOrder) {
		HttpServerResponse response = request.response();
		if (this.options.checksFencing() && newOrder.fencingNumber() < this.order.fencingNumber()) {
			JsonResponses.status(response, STATUS_CONFLICT);
			return;
		}
		this.order = newOrder;
		if (this.faults.isDroppingOrderResponses()) {
			request.connection().close();
			return;
		}
		JsonResponses.json(response, STATUS_OK, newOrder);
	}

}
