package org.sardineport.daemon.relay;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnectOptions;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.lifecycle.Service;

/**
 * Keeps idle connections to backend servers, one request at a time on each. Confined to
 * the event loop.
 */
final class BackendConnections implements Service {

	/** Time to wait for a new connection. */
	static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

	/** Most idle connections kept for one backend server. */
	private static final int MOST_IDLE = 16;

	private final InstantSource clock;

	private final HttpClientAgent client;

	private final Map<BackendServerId, Connections> servers = new HashMap<>();

	private BackendConnections(Vertx vertx, InstantSource clock) {
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
		this.client = vertx.createHttpClient(new HttpClientOptions().setKeepAlive(true)
			.setPipelining(false)
			.setDecompressionSupported(false)
			.setTcpNoDelay(true)
			.setConnectTimeout((int) CONNECT_TIMEOUT.toMillis()));
	}

	/**
	 * Returns an empty set of connections.
	 * @param vertx carries input and output
	 * @param clock a steady clock
	 * @return the connections
	 */
	static BackendConnections create(Vertx vertx, InstantSource clock) {
		return new BackendConnections(vertx, clock);
	}

	@Override
	public CompletionStage<Void> start() {
		return CompletableFuture.completedStage(null);
	}

	@Override
	public CompletionStage<Void> stop() {
		return this.client.close().toCompletionStage();
	}

	/**
	 * Returns a connection that no other request uses.
	 * @param server the backend server
	 * @param longestIdle most time for which a kept connection may have been idle
	 * @return the connection, or a failure if none could be made
	 */
	Future<HttpClientConnection> acquire(BackendServer server, Duration longestIdle) {
		Connections connections = this.servers.get(server.id());
		HttpClientConnection kept = (connections != null)
				? connections.takeIdle(this.clock.millis(), longestIdle.toMillis()) : null;
		if (kept != null) {
			return Future.succeededFuture(kept);
		}
		HttpConnectOptions options = new HttpConnectOptions().setHost(server.address().ip())
			.setPort(server.address().port())
			.setConnectTimeout(CONNECT_TIMEOUT.toMillis());
		return this.client.connect(options).onSuccess((connection) -> opened(server.id(), connection));
	}

	private void opened(BackendServerId id, HttpClientConnection connection) {
		Connections connections = this.servers.computeIfAbsent(id, (key) -> new Connections());
		connections.open++;
		connection.closeHandler((ignored) -> closed(id, connection));
	}

	private void closed(BackendServerId id, HttpClientConnection connection) {
		Connections connections = this.servers.get(id);
		if (connections == null) {
			return;
		}
		connections.open--;
		connections.idle.removeIf((idle) -> idle.connection == connection);
		if (connections.open <= 0 && connections.idle.isEmpty()) {
			this.servers.remove(id);
		}
	}

	/**
	 * Keeps a connection for a later request.
	 * @param server the backend server
	 * @param connection the connection, whose last answer is complete
	 * @param idleTime time for which the backend server keeps it
	 */
	void release(BackendServer server, HttpClientConnection connection, Duration idleTime) {
		Connections connections = this.servers.get(server.id());
		if (connections == null || connections.idle.size() >= MOST_IDLE) {
			connection.close();
			return;
		}
		long now = this.clock.millis();
		connections.idle.addFirst(new Idle(connection, now, now + idleTime.toMillis()));
	}

	/**
	 * Returns whether no connection to a backend server is open.
	 * @param server the backend server
	 * @return whether all connections that were open are closed
	 */
	boolean isWithoutConnection(BackendServerId server) {
		return !this.servers.containsKey(server);
	}

	/**
	 * Connections to one backend server.
	 */
	private static final class Connections {

		/** The one used last is first. */
		private final Deque<Idle> idle = new ArrayDeque<>();

		private int open;

		private @Nullable HttpClientConnection takeIdle(long now, long longestIdleMillis) {
			Deque<Idle> expired = new ArrayDeque<>();
			this.idle.removeIf((each) -> each.keptUntil <= now && expired.add(each));
			expired.forEach((each) -> each.connection.close());
			Idle first = this.idle.peekFirst();
			if (first == null || now - first.idleSince > longestIdleMillis) {
				return null;
			}
			return this.idle.removeFirst().connection;
		}

	}

	/**
	 * A connection that waits for its next request.
	 */
	private record Idle(HttpClientConnection connection, long idleSince, long keptUntil) {

	}

}
