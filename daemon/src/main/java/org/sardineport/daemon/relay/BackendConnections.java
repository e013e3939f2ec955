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
 * Connection pool for backend servers. Each connection carries one request at a time.
 * Confined to the event loop.
 */
final class BackendConnections implements Service {

	/** Timeout for opening a connection. */
	static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

	/** Maximum number of idle connections per backend server. */
	private static final int MAX_IDLE_PER_SERVER = 16;

	private final InstantSource clock;

	private final HttpClientAgent client;

	private final Map<BackendServerId, ServerConnections> servers = new HashMap<>();

	private BackendConnections(Vertx vertx, InstantSource clock) {
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
		this.client = vertx.createHttpClient(new HttpClientOptions().setKeepAlive(true)
			.setPipelining(false)
			.setDecompressionSupported(false)
			.setTcpNoDelay(true)
			.setConnectTimeout((int) CONNECT_TIMEOUT.toMillis()));
	}

	/**
	 * Returns a pool without connections.
	 * @param vertx performs input and output
	 * @param clock a monotonic clock
	 * @return the pool
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
	 * Returns a connection that no other request uses: the most recently used idle one,
	 * or a new one.
	 * @param server the backend server
	 * @param maxIdle maximum time for which a reused connection may have been idle
	 * @return the connection, or a failure if none could be opened
	 */
	Future<HttpClientConnection> acquire(BackendServer server, Duration maxIdle) {
		ServerConnections connections = this.servers.get(server.id());
		HttpClientConnection reused = (connections != null)
				? connections.takeIdle(this.clock.millis(), maxIdle.toMillis()) : null;
		if (reused != null) {
			return Future.succeededFuture(reused);
		}
		HttpConnectOptions options = new HttpConnectOptions().setHost(server.address().ip())
			.setPort(server.address().port())
			.setConnectTimeout(CONNECT_TIMEOUT.toMillis());
		return this.client.connect(options).onSuccess((connection) -> opened(server.id(), connection));
	}

	private void opened(BackendServerId id, HttpClientConnection connection) {
		ServerConnections connections = this.servers.computeIfAbsent(id, (key) -> new ServerConnections());
		connections.open++;
		connection.closeHandler((ignored) -> closed(id, connection));
	}

	private void closed(BackendServerId id, HttpClientConnection connection) {
		ServerConnections connections = this.servers.get(id);
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
	 * Keeps a connection for a later request, or closes it if enough are idle.
	 * @param server the backend server
	 * @param connection the connection, whose last response is complete
	 * @param idleTime time for which the connection may be kept
	 */
	void release(BackendServer server, HttpClientConnection connection, Duration idleTime) {
		ServerConnections connections = this.servers.get(server.id());
		if (connections == null || connections.idle.size() >= MAX_IDLE_PER_SERVER) {
			connection.close();
			return;
		}
		long now = this.clock.millis();
		connections.idle.addFirst(new IdleConnection(connection, now, now + idleTime.toMillis()));
	}

	/**
	 * Returns how many connections to a backend server are open.
	 * @param server the backend server
	 * @return the number, with those in use
	 */
	int openConnections(BackendServerId server) {
		ServerConnections connections = this.servers.get(server);
		return (connections != null) ? connections.open : 0;
	}

	/**
	 * Connections to one backend server.
	 */
	private static final class ServerConnections {

		/** Idle connections, most recently used first. */
		private final Deque<IdleConnection> idle = new ArrayDeque<>();

		private int open;

		private @Nullable HttpClientConnection takeIdle(long now, long maxIdleMillis) {
			Deque<IdleConnection> expired = new ArrayDeque<>();
			this.idle.removeIf((each) -> each.expiresAt <= now && expired.add(each));
			expired.forEach((each) -> each.connection.close());
			IdleConnection mostRecent = this.idle.peekFirst();
			if (mostRecent == null || now - mostRecent.idleSince > maxIdleMillis) {
				return null;
			}
			return this.idle.removeFirst().connection;
		}

	}

	/**
	 * An idle connection, with times in milliseconds of the pool's clock.
	 */
	private record IdleConnection(HttpClientConnection connection, long idleSince, long expiresAt) {

	}

}
