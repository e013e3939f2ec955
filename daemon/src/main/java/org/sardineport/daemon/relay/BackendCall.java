package org.sardineport.daemon.relay;

import java.time.Duration;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.backend.BackendServer;

/**
 * One request to one backend server, sent once. Confined to the event loop.
 */
final class BackendCall {

	private final BackendConnections connections;

	private final BackendServer server;

	private final BackendCallListener listener;

	private @Nullable HttpClientConnection connection;

	private @Nullable HttpClientResponse response;

	private boolean over;

	BackendCall(BackendConnections connections, BackendServer server, BackendCallListener listener) {
		this.connections = connections;
		this.server = server;
		this.listener = listener;
	}

	/**
	 * Sends the request.
	 * @param method the HTTP method
	 * @param target path and query
	 * @param headers all headers but the length
	 * @param body the whole body
	 * @param longestIdle most time for which the connection may have been idle
	 */
	void send(String method, String target, MultiMap headers, Buffer body, Duration longestIdle) {
		this.connections.acquire(this.server, longestIdle).onComplete((acquired) -> {
			if (acquired.failed()) {
				notConnected(acquired.cause());
			}
			else if (this.over) {
				acquired.result().close();
			}
			else {
				this.connection = acquired.result();
				write(acquired.result(), method, target, headers, body);
			}
		});
	}

	private void write(HttpClientConnection open, String method, String target, MultiMap headers, Buffer body) {
		RequestOptions options = new RequestOptions().setMethod(HttpMethod.valueOf(method))
			.setURI(target)
			.setHeaders(headers);
		open.request(options).onComplete((made) -> {
			if (made.failed()) {
				open.close();
				notConnected(made.cause());
			}
			else {
				write(made.result(), body);
			}
		});
	}

	private void write(HttpClientRequest request, Buffer body) {
		if (this.over) {
			return;
		}
		request.exceptionHandler(this::broken);
		request.response().onSuccess(this::onHead).onFailure(this::broken);
		if (body.length() == 0) {
			request.end();
		}
		else {
			request.end(body);
		}
	}

	private void onHead(HttpClientResponse answer) {
		if (this.over) {
			return;
		}
		this.response = answer;
		answer.exceptionHandler(this::broken);
		answer.handler((bytes) -> {
			if (!this.over) {
				this.listener.data(bytes);
			}
		});
		answer.endHandler((ignored) -> {
			if (!this.over) {
				this.over = true;
				this.listener.end();
			}
		});
		this.listener.head(answer.statusCode(), answer.headers());
	}

	private void notConnected(Throwable cause) {
		if (!this.over) {
			this.over = true;
			this.listener.notConnected(String.valueOf(cause.getMessage()));
		}
	}

	private void broken(Throwable cause) {
		if (!this.over) {
			this.over = true;
			close();
			this.listener.broken(String.valueOf(cause.getMessage()));
		}
	}

	void pause() {
		if (this.response != null && !this.over) {
			this.response.pause();
		}
	}

	void resume() {
		if (this.response != null && !this.over) {
			this.response.resume();
		}
	}

	/**
	 * Ends the call by closing its connection, after which the backend server stops work.
	 */
	void abort() {
		this.over = true;
		close();
	}

	private void close() {
		if (this.connection != null) {
			this.connection.close();
		}
	}

	/**
	 * Keeps the connection after the answer was complete.
	 * @param idleTime time for which it may wait for its next request; zero to close it
	 */
	void keepConnection(Duration idleTime) {
		HttpClientConnection open = this.connection;
		if (open == null) {
			return;
		}
		if (idleTime.isZero()) {
			open.close();
		}
		else {
			this.connections.release(this.server, open, idleTime);
		}
	}

}
