package org.sardineport.cli.demo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import org.sardineport.core.identity.NetworkAddress;

/**
 * Callers that send the planned requests over HTTP to their current entry address. Each
 * request is sent at its planned time, even if earlier ones are still pending (open
 * loop).
 */
final class DemoCallers {

	private static final int CALLER_COUNT = 12;

	private static final int MAX_CONNECTIONS = 512;

	private final Vertx vertx;

	private final Context context;

	private final HttpClient client;

	private final List<EntryAddressCache> addressCaches = new ArrayList<>();

	DemoCallers(Vertx vertx, List<NetworkAddress> contacts) {
		this.vertx = vertx;
		this.context = vertx.getOrCreateContext();
		this.client = vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
		for (int i = 0; i < CALLER_COUNT; i++) {
			List<NetworkAddress> rotated = new ArrayList<>(contacts);
			Collections.rotate(rotated, i);
			this.addressCaches.add(new EntryAddressCache(vertx, rotated));
		}
	}

	List<CompletableFuture<CallResult>> start(List<WorkItem> items) {
		long start = System.nanoTime();
		List<CompletableFuture<CallResult>> results = new ArrayList<>();
		for (WorkItem item : items) {
			CompletableFuture<CallResult> result = new CompletableFuture<>();
			results.add(result);
			EntryAddressCache addressCache = this.addressCaches.get(Math.floorMod(item.tag().hashCode(), CALLER_COUNT));
			this.context.runOnContext((ignored) -> this.vertx.setTimer(Math.max(1, item.at().toMillis()),
					(id) -> send(item, addressCache, start + item.at().toNanos(), result)));
		}
		return results;
	}

	private void send(WorkItem item, EntryAddressCache addressCache, long plannedNanos,
			CompletableFuture<CallResult> result) {
		addressCache.addresses().onSuccess((addresses) -> connect(item, addresses, 0, plannedNanos, result));
	}

	private void connect(WorkItem item, List<NetworkAddress> addresses, int index, long plannedNanos,
			CompletableFuture<CallResult> result) {
		if (index >= addresses.size()) {
			result.complete(
					new CallResult(item, CallResult.Outcome.NOT_RUN, "no address answers", elapsedSince(plannedNanos)));
			return;
		}
		NetworkAddress address = addresses.get(index);
		RequestOptions options = new RequestOptions().setHost(address.ip())
			.setPort(address.port())
			.setMethod(HttpMethod.POST)
			.setURI(item.kind().path());
		this.client.request(options)
			.onFailure((cause) -> connect(item, addresses, index + 1, plannedNanos, result))
			.onSuccess((request) -> exchange(request, item, plannedNanos, result));
	}

	private void exchange(HttpClientRequest request, WorkItem item, long plannedNanos,
			CompletableFuture<CallResult> result) {
		request.putHeader("Sardineport-Profile", "demo");
		request.putHeader("Sardineport-Organisation", item.organisation());
		if (!item.key().isEmpty()) {
			request.putHeader("Idempotency-Key", item.key());
		}
		Buffer body = Buffer.buffer();
		request.send(Buffer.buffer(item.body()))
			.compose((response) -> readBody(response, body).map((complete) -> ResponseCheck.check(item,
					response.statusCode(), body.toString(), complete, elapsedSince(plannedNanos))))
			.onSuccess(result::complete)
			.onFailure((cause) -> result.complete(new CallResult(item, CallResult.Outcome.CONNECTION_LOST,
					Objects.toString(cause.getMessage()), elapsedSince(plannedNanos))));
	}

	private static Future<Boolean> readBody(HttpClientResponse response, Buffer body) {
		Promise<Boolean> complete = Promise.promise();
		response.handler(body::appendBuffer);
		response.endHandler((ignored) -> complete.tryComplete(true));
		response.exceptionHandler((cause) -> complete.tryComplete(false));
		return complete.future();
	}

	private static Duration elapsedSince(long plannedNanos) {
		return Duration.ofNanos(System.nanoTime() - plannedNanos);
	}

}
