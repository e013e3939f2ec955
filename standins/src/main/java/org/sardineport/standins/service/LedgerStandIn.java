package org.sardineport.standins.service;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.lifecycle.Service;
import org.sardineport.standins.http.JsonResponses;
import org.sardineport.standins.http.LoadReportJson;
import org.sardineport.standins.http.StandInServer;

/**
 * Fake of a ledger over HTTP on a loopback port: a plain service that executes each
 * posting it receives, also a repeated one, and counts the executions of each idempotency
 * key. Thread-safe.
 */
public final class LedgerStandIn implements Service {

	private static final int STATUS_OK = 200;

	private static final int STATUS_CREATED = 201;

	private static final int STATUS_UNAVAILABLE = 503;

	private static final String KEY_HEADER = "Idempotency-Key";

	private final Vertx vertx;

	private final StandInServer server;

	private final Duration latency;

	private final Map<String, AtomicInteger> executions = new ConcurrentHashMap<>();

	private final AtomicInteger running = new AtomicInteger();

	private volatile ServiceFault fault = ServiceFault.NONE;

	private volatile boolean leaving;

	private LedgerStandIn(Vertx vertx, Duration latency) {
		this.vertx = vertx;
		this.latency = Objects.requireNonNull(latency, "latency must not be null");
		this.server = StandInServer.create(vertx, this::handle);
	}

	/**
	 * Creates a ledger that has not been started.
	 * @param vertx runs the HTTP server and the timers
	 * @param latency duration of each call; less than 1 ms counts as 1 ms
	 * @return the ledger
	 */
	public static LedgerStandIn create(Vertx vertx, Duration latency) {
		return new LedgerStandIn(vertx, latency);
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
	 * Returns the address at which the ledger listens. Valid after the start.
	 * @return the loopback address
	 */
	public NetworkAddress address() {
		return this.server.address();
	}

	/**
	 * Returns the HTTP server, which can be crashed and restarted.
	 * @return the server
	 */
	public StandInServer server() {
		return this.server;
	}

	/**
	 * Returns how often the posting of each idempotency key was executed.
	 * @return a snapshot of the numbers by key, with {@code none} for postings without
	 * one
	 */
	public Map<String, Integer> executions() {
		Map<String, Integer> counts = new ConcurrentHashMap<>();
		this.executions.forEach((key, count) -> counts.put(key, count.get()));
		return Map.copyOf(counts);
	}

	/**
	 * Sets the fault of the calls that follow.
	 * @param newFault the fault
	 */
	public void setFault(ServiceFault newFault) {
		this.fault = Objects.requireNonNull(newFault, "newFault must not be null");
	}

	/**
	 * Sets whether load reports announce that this backend server is about to leave.
	 * @param isLeaving whether it is about to leave
	 */
	public void setLeaving(boolean isLeaving) {
		this.leaving = isLeaving;
	}

	private void handle(HttpServerRequest request) {
		if (request.path().equals("/v1/load")) {
			JsonResponses.json(request.response(), STATUS_OK,
					new LoadReportJson(this.running.get(), 0, 0, this.leaving, false, Instant.now().toString()));
			return;
		}
		if (this.fault == ServiceFault.REFUSED) {
			JsonResponses.status(request.response(), STATUS_UNAVAILABLE);
			return;
		}
		request.bodyHandler((body) -> execute(request, body));
	}

	private void execute(HttpServerRequest request, Buffer body) {
		this.running.incrementAndGet();
		if (request.method().equals(HttpMethod.POST)) {
			String key = request.getHeader(KEY_HEADER);
			this.executions.computeIfAbsent((key != null) ? key : "none", (ignored) -> new AtomicInteger())
				.incrementAndGet();
		}
		this.vertx.setTimer(Math.max(1, this.latency.toMillis()), (id) -> {
			this.running.decrementAndGet();
			respond(request, body);
		});
	}

	private void respond(HttpServerRequest request, Buffer body) {
		HttpServerResponse response = request.response();
		switch (this.fault) {
			case NONE, REFUSED -> {
				boolean posting = request.method().equals(HttpMethod.POST);
				String key = request.getHeader(KEY_HEADER);
				JsonResponses.json(response, (posting) ? STATUS_CREATED : STATUS_OK,
						new LedgerResponseJson((key != null) ? key : request.path(), body.length()));
			}
			case RESPONSE_LOST -> request.connection().close();
			case TRUNCATED -> response.putHeader("Content-Length", "1000")
				.write("{\"key\":")
				.onComplete((ignored) -> request.connection().close());
			case SILENT -> {
				// Never responds.
			}
		}
	}

}
