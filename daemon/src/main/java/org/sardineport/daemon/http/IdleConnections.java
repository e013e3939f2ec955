package org.sardineport.daemon.http;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import com.codahale.metrics.Counter;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;

/**
 * Closes connections that have no request in flight for longer than a timeout, including
 * connections that never send a complete request head. Confined to the server's context.
 */
final class IdleConnections {

	private final Vertx vertx;

	private final Duration timeout;

	private final Counter closed;

	private final Map<HttpConnection, ConnectionState> states = new HashMap<>();

	IdleConnections(Vertx vertx, Duration timeout, Counter closed) {
		this.vertx = vertx;
		this.timeout = timeout;
		this.closed = closed;
	}

	void opened(HttpConnection connection) {
		ConnectionState state = new ConnectionState();
		this.states.put(connection, state);
		connection.closeHandler((ignored) -> {
			this.states.remove(connection);
			this.vertx.cancelTimer(state.timer);
		});
		startTimer(connection, state);
	}

	void requestStarted(HttpConnection connection) {
		ConnectionState state = this.states.get(connection);
		if (state != null) {
			state.requests++;
			this.vertx.cancelTimer(state.timer);
		}
	}

	void requestEnded(HttpConnection connection) {
		ConnectionState state = this.states.get(connection);
		if (state != null) {
			state.requests--;
			if (state.requests == 0) {
				startTimer(connection, state);
			}
		}
	}

	private void startTimer(HttpConnection connection, ConnectionState state) {
		this.vertx.cancelTimer(state.timer);
		state.timer = this.vertx.setTimer(this.timeout.toMillis(), (id) -> {
			this.closed.inc();
			connection.close();
		});
	}

	/**
	 * The idle timer and the number of requests in flight of a connection.
	 */
	private static final class ConnectionState {

		private long timer = -1;

		private int requests;

	}

}
