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
 * One request in flight to a backend server. All state is touched on one context only.
 */
final class HttpExchange implements Exchange {

	private final Vertx vertx;

	private final Context context;

	private final BackendServer server;

	private final ResponseListener listener;

	private final Runnable cancelOnServer;

	private @Nullable HttpClientRequest request;

	private @Nullable HttpClientResponse response;

	private @Nullable CompletionCheck endMark;

	private long deadlineTimer = -1;

	private boolean over;

	private boolean paused;

	HttpExchange(Vertx vertx, BackendServer server, ResponseListener listener, Runnable cancelOnServer) {
		this.vertx = vertx;
		this.context = vertx.getOrCreateContext();
		this.server = server;
		this.listener = listener;
		this.cancelOnServer = cancelOnServer;
	}

	void start(HttpClient client, InstantSource clock, BackendRequest sent) {
		onContext(() -> connect(client, clock, sent));
	}

	@Override
	public void pause() {
		onContext(() -> {
			this.paused = true;
			if (this.response != null && !this.over) {
				this.response.pause();
			}
		});
	}

	@Override
	public void resume() {
		onContext(() -> {
			this.paused = false;
			if (this.response != null && !this.over) {
				this.response.resume();
			}
		});
	}

	@Override
	public void cancel() {
		onContext(() -> {
			if (!this.over) {
				boolean sent = this.request != null;
				abort(BackendFailure.CANCELLED, "exchange was cancelled", null);
				if (sent) {
					this.cancelOnServer.run();
				}
			}
		});
	}

	@Override
	public void detach() {
		onContext(() -> abort(BackendFailure.CANCELLED, "exchange was let go of", null));
	}

	private void connect(HttpClient client, InstantSource clock, BackendRequest sent) {
		long left = Duration.between(clock.instant(), sent.deadline()).toMillis();
		if (left <= 0) {
			abort(BackendFailure.NOT_CONNECTED, "the deadline had passed before a connection was asked for", null);
			return;
		}
		this.deadlineTimer = this.vertx.setTimer(left, (id) -> onDeadline());
		RequestOptions options = new RequestOptions().setHost(this.server.address().ip())
			.setPort(this.server.address().port())
			.setMethod(HttpMethod.valueOf(sent.method()))
			.setURI(sent.pathAndQuery());
		try {
			client.request(options)
				.onSuccess((connected) -> onContext(() -> onConnected(connected, sent)))
				.onFailure((cause) -> onContext(() -> onNotConnected(cause)));
		}
		catch (IllegalStateException ex) {
			// the client was closed, as the daemon stops
			onNotConnected(ex);
		}
	}

	private void onNotConnected(Throwable cause) {
		abort(BackendFailure.NOT_CONNECTED, "no connection to " + this.server.address(), cause);
	}

	private void onConnected(HttpClientRequest connected, BackendRequest sent) {
		connected.exceptionHandler((cause) -> onContext(() -> onBroken(cause)));
		if (this.over) {
			connected.reset();
			return;
		}
		this.request = connected;
		connected.response()
			.onSuccess((answer) -> onContext(() -> onResponse(answer)))
			.onFailure((cause) -> onContext(() -> onBroken(cause)));
		sent.headers().forEach((field) -> connected.headers().add(field.getKey(), field.getValue()));
		connected.putHeader(HeaderNames.STREAM_ID, sent.streamId());
		if (sent.body().length == 0 && isBodilessMethod(sent.method())) {
			connected.end();
		}
		else {
			connected.end(Buffer.buffer(sent.body()));
		}
	}

	private void onResponse(HttpClientResponse answer) {
		if (this.over) {
			return;
		}
		this.response = answer;
		List<Map.Entry<String, String>> headers = fields(answer.headers());
		this.endMark = CompletionCheck.of(this.server.kind(), answer.statusCode(), headers);
		answer.exceptionHandler((cause) -> onContext(() -> onBroken(cause)));
		answer.handler((bytes) -> onContext(() -> onChunk(bytes)));
		answer.endHandler((end) -> onContext(this::onEnd));
		if (this.paused) {
			answer.pause();
		}
		this.listener.head(answer.statusCode(), headers);
	}

	private void onChunk(Buffer bytes) {
		if (!this.over && this.endMark != null) {
			ByteBuffer chunk = ByteBuffer.wrap(bytes.getBytes());
			this.endMark.add(chunk);
			this.listener.chunk(chunk);
		}
	}

	private void onEnd() {
		if (this.over || this.endMark == null) {
			return;
		}
		if (!this.endMark.isComplete()) {
			abort(BackendFailure.TRUNCATED, "the answer of " + this.server.id() + " has no end mark", null);
			return;
		}
		close();
		this.listener.end();
	}

	private void onBroken(Throwable cause) {
		BackendFailure failure = (this.response != null) ? BackendFailure.TRUNCATED : BackendFailure.BROKEN;
		abort(failure, "the connection to " + this.server.id() + " broke", cause);
	}

	private void onDeadline() {
		BackendFailure failure = (this.request != null) ? BackendFailure.TIMED_OUT : BackendFailure.NOT_CONNECTED;
		boolean sent = this.request != null;
		boolean wasOver = this.over;
		abort(failure, "the deadline passed at " + this.server.id(), null);
		if (sent && !wasOver) {
			this.cancelOnServer.run();
		}
	}

	private void abort(BackendFailure failure, String message, @Nullable Throwable cause) {
		if (this.over) {
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
		this.over = true;
		this.vertx.cancelTimer(this.deadlineTimer);
	}

	private void onContext(Runnable step) {
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
