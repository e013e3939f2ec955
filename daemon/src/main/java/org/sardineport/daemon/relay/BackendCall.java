package org.sardineport.daemon.relay;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeoutException;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpClosedException;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.backend.BackendServer;

/**
 * One request to one backend server, sent at most once. Confined to the event loop.
 */
final class BackendCall {

	/** Time for which a connection is kept on which nothing was sent. */
	private static final Duration UNUSED_IDLE_TIME = Duration.ofSeconds(1);

	private final BackendConnections connections;

	private final BackendServer server;

	private final BackendCallListener listener;

	private @Nullable BackendConnection connection;

	private @Nullable HttpClientResponse response;

	private boolean ended;

	BackendCall(BackendConnections connections, BackendServer server, BackendCallListener listener) {
		this.connections = connections;
		this.server = server;
		this.listener = listener;
	}

	/**
	 * Sends the request.
	 * @param method the HTTP method
	 * @param target path and query
	 * @param headers all headers except the content length
	 * @param body the whole body
	 * @param maxIdle maximum time for which a reused connection may have been idle
	 */
	void send(String method, String target, MultiMap headers, Buffer body, Duration maxIdle) {
		this.connections.acquire(this.server, maxIdle).onComplete((acquired) -> {
			if (acquired.failed()) {
				notConnected(acquired.cause());
			}
			else if (this.ended) {
				acquired.result().close();
			}
			else {
				this.listener.connected(() -> sendOn(acquired.result(), method, target, headers, body));
			}
		});
	}

	private void sendOn(BackendConnection acquired, String method, String target, MultiMap headers, Buffer body) {
		if (this.ended) {
			acquired.close();
		}
		else if (!this.listener.maySend()) {
			this.connections.release(acquired, UNUSED_IDLE_TIME);
			notConnected(new TimeoutException("the caller no longer waits"));
		}
		else {
			this.connection = acquired;
			acquired.recordSent();
			write(acquired.http(), method, target, headers, body);
		}
	}

	private void write(HttpClientConnection open, String method, String target, MultiMap headers, Buffer body) {
		RequestOptions options = new RequestOptions().setMethod(HttpMethod.valueOf(method))
			.setURI(target)
			.setHeaders(headers);
		open.request(options).onComplete((created) -> {
			if (created.failed()) {
				open.close();
				notConnected(created.cause());
			}
			else {
				write(created.result(), body);
			}
		});
	}

	private void write(HttpClientRequest request, Buffer body) {
		if (this.ended) {
			return;
		}
		request.exceptionHandler(this::fail);
		request.response().onSuccess(this::onHead).onFailure(this::fail);
		if (body.length() == 0) {
			request.end();
		}
		else {
			request.end(body);
		}
	}

	private void onHead(HttpClientResponse received) {
		if (this.ended) {
			return;
		}
		this.response = received;
		recordData();
		received.exceptionHandler(this::fail);
		received.handler((bytes) -> {
			if (!this.ended) {
				recordData();
				this.listener.dataReceived(bytes);
			}
		});
		received.endHandler((ignored) -> {
			if (!this.ended) {
				this.ended = true;
				this.listener.responseCompleted();
			}
		});
		this.listener.headReceived(received.statusCode(), received.headers());
	}

	private void recordData() {
		if (this.connection != null) {
			this.connection.recordData();
		}
	}

	private void notConnected(Throwable cause) {
		if (!this.ended) {
			this.ended = true;
			this.listener.notConnected(String.valueOf(cause.getMessage()));
		}
	}

	private void fail(Throwable cause) {
		if (!this.ended) {
			this.ended = true;
			close();
			String message = String.valueOf(cause.getMessage());
			if (cause instanceof IOException || cause instanceof HttpClosedException) {
				this.listener.connectionBroke(message);
			}
			else {
				this.listener.responseMalformed(message);
			}
		}
	}

	/**
	 * Returns the connection of the call.
	 * @return the connection, or {@code null} before one was acquired
	 */
	@Nullable BackendConnection connection() {
		return this.connection;
	}

	void pause() {
		if (this.response != null && !this.ended) {
			this.response.pause();
			recordPaused(true);
		}
	}

	void resume() {
		if (this.response != null && !this.ended) {
			recordPaused(false);
			this.response.resume();
		}
	}

	private void recordPaused(boolean isPaused) {
		if (this.connection != null) {
			this.connection.recordPaused(isPaused);
		}
	}

	/**
	 * Aborts the call by closing its connection, upon which the backend server stops
	 * working on the request. The listener is not called any more.
	 */
	void abort() {
		this.ended = true;
		close();
	}

	private void close() {
		if (this.connection != null) {
			this.connection.close();
		}
	}

	/**
	 * Returns the connection to the pool after the response is complete.
	 * @param idleTime time for which it may be kept idle; zero to close it
	 */
	void keepConnection(Duration idleTime) {
		BackendConnection open = this.connection;
		if (open == null) {
			return;
		}
		if (idleTime.isZero()) {
			open.close();
		}
		else {
			this.connections.release(open, idleTime);
		}
	}

}
