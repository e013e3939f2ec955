package org.sardineport.daemon.engine;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;

import io.vertx.core.Context;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.exchange.CompletionCheck;
import org.sardineport.core.exchange.HeaderNames;
import org.sardineport.core.port.backend.BackendException;
import org.sardineport.core.port.backend.BackendFailure;
import org.sardineport.core.port.backend.BackendRequest;
import org.sardineport.core.port.backend.Exchange;
import org.sardineport.core.port.backend.ResponseListener;

/**
 * One request in flight to a backend server. State is confined to the Vert.x context that
 * is current at creation; calls from other threads are forwarded to it.
 */
final class HttpExchange implements Exchange {

	private final Vertx vertx;

	private final Context context;

	private final BackendServer server;

	private final ResponseListener listener;

	private final Runnable serverCancellation;

	private @Nullable HttpClientRequest request;

	private @Nullable HttpClientResponse response;

	private @Nullable CompletionCheck completionCheck;

	private long deadlineTimer = -1;

	private boolean ended;

	private boolean paused;

	HttpExchange(Vertx vertx, BackendServer server, ResponseListener listener, Runnable serverCancellation) {
		this.vertx = vertx;
		this.context = vertx.getOrCreateContext();
		this.server = server;
		this.listener = listener;
		this.serverCancellation = serverCancellation;
	}

	void start(HttpClient client, InstantSource clock, BackendRequest backendRequest) {
		runOnContext(() -> connect(client, clock, backendRequest));
	}

	@Override
	public void pause() {
		runOnContext(() -> {
			this.paused = true;
			if (this.response != null && !this.ended) {
				this.response.pause();
			}
		});
	}

	@Override
	public void resume() {
		runOnContext(() -> {
			this.paused = false;
			if (this.response != null && !this.ended) {
				this.response.resume();
			}
		});
	}

	@Override
	public void cancel() {
		runOnContext(() -> {
			if (!this.ended) {
				boolean wasSent = this.request != null;
				abort(BackendFailure.CANCELLED, "exchange cancelled", null);
				if (wasSent) {
					this.serverCancellation.run();
				}
			}
		});
	}

	@Override
	public void detach() {
		runOnContext(() -> abort(BackendFailure.CANCELLED, "exchange detached", null));
	}

	private void connect(HttpClient client, InstantSource clock, BackendRequest backendRequest) {
		long remainingMillis = Duration.between(clock.instant(), backendRequest.deadline()).toMillis();
		if (remainingMillis <= 0) {
			abort(BackendFailure.NOT_CONNECTED, "deadline passed before a connection was requested", null);
			return;
		}
		this.deadlineTimer = this.vertx.setTimer(remainingMillis, (id) -> onDeadline());
		RequestOptions options = new RequestOptions().setHost(this.server.address().ip())
			.setPort(this.server.address().port())
			.setMethod(HttpMethod.valueOf(backendRequest.method()))
			.setURI(backendRequest.pathAndQuery());
		try {
			client.request(options)
				.onSuccess((connected) -> runOnContext(() -> onConnected(connected, backendRequest)))
				.onFailure((cause) -> runOnContext(() -> onConnectFailed(cause)));
		}
		catch (IllegalStateException ex) {
			// The client is closed while the daemon stops.
			onConnectFailed(ex);
		}
	}

	private void onConnectFailed(Throwable cause) {
		abort(BackendFailure.NOT_CONNECTED, "no connection to " + this.server.address(), cause);
	}

	private void onConnected(HttpClientRequest connected, BackendRequest backendRequest) {
		connected.exceptionHandler((cause) -> runOnContext(() -> onConnectionFailed(cause)));
		if (this.ended) {
			connected.reset();
			return;
		}
		this.request = connected;
		connected.response()
			.onSuccess((received) -> runOnContext(() -> onResponse(received)))
			.onFailure((cause) -> runOnContext(() -> onConnectionFailed(cause)));
		backendRequest.headers().forEach((field) -> connected.headers().add(field.getKey(), field.getValue()));
		connected.putHeader(HeaderNames.STREAM_ID, backendRequest.streamId());
		if (backendRequest.body().length == 0 && isBodilessMethod(backendRequest.method())) {
			connected.end();
		}
		else {
			connected.end(Buffer.buffer(backendRequest.body()));
		}
	}

	private void onResponse(HttpClientResponse received) {
		if (this.ended) {
			return;
		}
		this.response = received;
		List<Map.Entry<String, String>> headers = fields(received.headers());
		this.completionCheck = CompletionCheck.of(this.server.kind(), received.request().getMethod().name(),
				received.statusCode(), headers);
		received.exceptionHandler((cause) -> runOnContext(() -> onConnectionFailed(cause)));
		received.handler((bytes) -> runOnContext(() -> onChunk(bytes)));
		received.endHandler((end) -> runOnContext(this::onEnd));
		if (this.paused) {
			received.pause();
		}
		this.listener.head(received.statusCode(), headers);
	}

	private void onChunk(Buffer bytes) {
		if (!this.ended && this.completionCheck != null) {
			ByteBuffer chunk = ByteBuffer.wrap(bytes.getBytes());
			this.completionCheck.add(chunk);
			this.listener.chunk(chunk);
		}
	}

	private void onEnd() {
		if (this.ended || this.completionCheck == null) {
			return;
		}
		if (!this.completionCheck.isComplete()) {
			abort(BackendFailure.TRUNCATED, "response of " + this.server.id() + " ended without its terminator", null);
			return;
		}
		close();
		this.listener.end();
	}

	private void onConnectionFailed(Throwable cause) {
		BackendFailure failure = (this.response != null) ? BackendFailure.TRUNCATED : BackendFailure.BROKEN;
		abort(failure, "connection to " + this.server.id() + " failed", cause);
	}

	private void onDeadline() {
		BackendFailure failure = (this.request != null) ? BackendFailure.TIMED_OUT : BackendFailure.NOT_CONNECTED;
		boolean wasSent = this.request != null;
		boolean wasEnded = this.ended;
		abort(failure, "deadline passed while waiting for " + this.server.id(), null);
		if (wasSent && !wasEnded) {
			this.serverCancellation.run();
		}
	}

	private void abort(BackendFailure failure, String message, @Nullable Throwable cause) {
		if (this.ended) {
			return;
		}
		close();
		if (this.request != null) {
			this.request.reset();
		}
		this.listener.failed((cause != null) ? BackendException.of(failure, message + ": " + cause.getMessage(), cause)
				: BackendException.of(failure, message));
	}

	private void close() {
		this.ended = true;
		this.vertx.cancelTimer(this.deadlineTimer);
	}

	private void runOnContext(Runnable step) {
		if (Vertx.currentContext() == this.context) {
			step.run();
		}
		else {
			this.context.runOnContext((ignored) -> step.run());
		}
	}

	private static boolean isBodilessMethod(String method) {
		return method.equals("GET") || method.equals("HEAD") || method.equals("DELETE") || method.equals("OPTIONS");
	}

	private static List<Map.Entry<String, String>> fields(MultiMap headers) {
		return headers.entries().stream().map((field) -> Map.entry(field.getKey(), field.getValue())).toList();
	}

}
