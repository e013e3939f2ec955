package org.sardineport.daemon.http;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import com.codahale.metrics.Counter;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;

/**
 * Closes connections on which no request is under way for some time, those included that
 * never send a whole head. Touched on the server's context only.
 */
final class IdleConnections {

	private final Vertx vertx;

	private final Duration timeout;

	private final Counter closed;

	private final Map<HttpConnection, Watch> watches = new HashMap<>();

	IdleConnections(Vertx vertx, Duration timeout, Counter closed) {
		this.vertx = vertx;
		this.timeout = timeout;
		this.closed = closed;
	}

	void opened(HttpConnection connection) {
		Watch watch = new Watch();
		this.watches.put(connection, watch);
		connection.closeHandler((ignored) -> {
			this.watches.remove(connection);
			this.vertx.cancelTimer(watch.timer);
		});
		arm(connection, watch);
	}

	void began(HttpConnection connection) {
		Watch watch = this.watches.get(connection);
		if (watch != null) {
			watch.requests++;
			this.vertx.cancelTimer(watch.timer);
		}
	}

	void ended(HttpConnection connection) {
		Watch watch = this.watches.get(connection);
		if (watch != null) {
			watch.requests--;
			if (watch.requests == 0) {
				arm(connection, watch);
			}
		}
	}

	private void arm(HttpConnection connection, Watch watch) {
		this.vertx.cancelTimer(watch.timer);
		watch.timer = this.vertx.setTimer(this.timeout.toMillis(), (id) -> {
			this.closed.inc();
			connection.close();
		});
	}

	/**
	 * What is known of one connection.
	 */
	private static final class Watch {

		private long timer = -1;

		private int requests;

	}

}
