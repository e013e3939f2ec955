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
 * Callers that send the planned requests over real sockets, each to the address that the
 * system told it, whether earlier answers have come or not.
 */
final class DemoCallers {

	private static final int CALLERS = 12;

	private static final int CONNECTIONS = 512;

	private final Vertx vertx;

	private final Context context;

	private final HttpClient client;

	private final List<EntryChooser> choosers = new ArrayList<>();

	DemoCallers(Vertx vertx, List<NetworkAddress> contacts) {
		this.vertx = vertx;
		this.context = vertx.getOrCreateContext();
		this.client = vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(CONNECTIONS));
		for (int i = 0; i < CALLERS; i++) {
			List<NetworkAddress> rotated = new ArrayList<>(contacts);
			Collections.rotate(rotated, i);
			this.choosers.add(new EntryChooser(vertx, rotated));
		}
	}

	List<CompletableFuture<CallResult>> start(List<WorkItem> items) {
		long start = System.nanoTime();
		List<CompletableFuture<CallResult>> results = new ArrayList<>();
		for (WorkItem item : items) {
			CompletableFuture<CallResult> result = new CompletableFuture<>();
			results.add(result);
			EntryChooser chooser = this.choosers.get(Math.floorMod(item.tag().hashCode(), CALLERS));
			this.context.runOnContext((ignored) -> this.vertx.setTimer(Math.max(1, item.at().toMillis()),
					(id) -> send(item, chooser, start + item.at().toNanos(), result)));
		}
		return results;
	}

	private void send(WorkItem item, EntryChooser chooser, long planned, CompletableFuture<CallResult> result) {
		chooser.addresses().onSuccess((addresses) -> connect(item, addresses, 0, planned, result));
	}

	private void connect(WorkItem item, List<NetworkAddress> addresses, int index, long planned,
			CompletableFuture<CallResult> result) {
		if (index >= addresses.size()) {
			result.complete(new CallResult(item, CallResult.Ending.NOT_RUN, "no address answers", since(planned)));
			return;
		}
		NetworkAddress address = addresses.get(index);
		RequestOptions options = new RequestOptions().setHost(address.ip())
			.setPort(address.port())
			.setMethod(HttpMethod.POST)
			.setURI(item.kind().path());
		this.client.request(options)
			.onFailure((cause) -> connect(item, addresses, index + 1, planned, result))
			.onSuccess((request) -> exchange(request, item, planned, result));
	}

	private void exchange(HttpClientRequest request, WorkItem item, long planned,
			CompletableFuture<CallResult> result) {
		request.putHeader("Sardineport-Profile", "demo");
		request.putHeader("Sardineport-Organisation", item.organisation());
		if (!item.key().isEmpty()) {
			request.putHeader("Idempotency-Key", item.key());
		}
		Buffer answer = Buffer.buffer();
		request.send(Buffer.buffer(item.body()))
			.compose((response) -> read(response, answer).map((complete) -> AnswerCheck.check(item,
					response.statusCode(), answer.toString(), complete, since(planned))))
			.onSuccess(result::complete)
			.onFailure((cause) -> result.complete(new CallResult(item, CallResult.Ending.CUT_OFF,
					Objects.toString(cause.getMessage()), since(planned))));
	}

	private static Future<Boolean> read(HttpClientResponse response, Buffer answer) {
		Promise<Boolean> read = Promise.promise();
		response.handler(answer::appendBuffer);
		response.endHandler((ignored) -> read.tryComplete(true));
		response.exceptionHandler((cause) -> read.tryComplete(false));
		return read.future();
	}

	private static Duration since(long planned) {
		return Duration.ofNanos(System.nanoTime() - planned);
	}

}
