package org.sardineport.daemon.relay;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
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
import org.sardineport.core.backend.BackendProcess;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.fleet.ListRead;
import org.sardineport.core.fleet.ListReads;
import org.sardineport.core.lifecycle.Service;

/**
 * Connection pool for backend servers. Each connection carries one request at a time.
 * Confined to the event loop.
 */
final class BackendConnections implements Service {

	/** Timeout for opening a connection. */
	static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

	private final InstantSource clock;

	private final HttpClientAgent client;

	private final ListReads listReads;

	private final Map<BackendProcess, ProcessConnections> processes = new HashMap<>();

	private BackendConnections(Vertx vertx, InstantSource clock, ListReads listReads) {
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
		this.listReads = Objects.requireNonNull(listReads, "listReads must not be null");
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
	 * @param listReads reads of the VM list, by the same clock
	 * @return the pool
	 */
	static BackendConnections create(Vertx vertx, InstantSource clock, ListReads listReads) {
		return new BackendConnections(vertx, clock, listReads);
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
	Future<BackendConnection> acquire(BackendServer server, Duration maxIdle) {
		BackendProcess process = server.process();
		ProcessConnections connections = this.processes.get(process);
		BackendConnection reused = (connections != null) ? connections.takeIdle(maxIdle) : null;
		if (reused != null) {
			return Future.succeededFuture(reused);
		}
		HttpConnectOptions options = new HttpConnectOptions().setHost(server.address().ip())
			.setPort(server.address().port())
			.setConnectTimeout(CONNECT_TIMEOUT.toMillis());
		return this.client.connect(options).map((connection) -> opened(process, connection));
	}

	private BackendConnection opened(BackendProcess process, HttpClientConnection connection) {
		BackendConnection opened = new BackendConnection(connection, process, this.clock);
		this.processes.computeIfAbsent(process, (key) -> new ProcessConnections()).add(opened);
		connection.closeHandler((ignored) -> closed(opened));
		return opened;
	}

	private void closed(BackendConnection connection) {
		connection.recordClosed();
		ProcessConnections connections = this.processes.get(connection.process());
		if (connections == null) {
			return;
		}
		connections.remove(connection);
		if (connections.isEmpty()) {
			this.processes.remove(connection.process());
		}
	}

	/**
	 * Keeps a connection for a later request, or closes it if enough are idle.
	 * @param connection the connection, whose last response is complete
	 * @param idleTime time for which the connection may be kept
	 */
	void release(BackendConnection connection, Duration idleTime) {
		ProcessConnections connections = this.processes.get(connection.process());
		if (connections == null || !connections.keepIdle(connection, idleTime)) {
			connection.close();
		}
	}

	/**
	 * Returns whether a backend server certainly runs the software version that was
	 * listed. It may have been replaced under its name and address since the list was
	 * read. But if the list was read after a connection had been opened, and that
	 * connection is still open, then the process is one that was listed.
	 * @param server the backend server as listed
	 * @return whether it is certain now
	 */
	boolean isVersionCertain(BackendServer server) {
		ProcessConnections connections = this.processes.get(server.process());
		ListRead read = this.listReads.last();
		return connections != null && connections.oldestOpenedAt().filter(read::beganSince).isPresent()
				&& read.showsVersion(server);
	}

	/**
	 * Waits until it is known whether a connection led to another software version than
	 * the one listed.
	 * @param connection the connection, which may be closed by now
	 * @param server the backend server as listed when the connection was acquired
	 * @return completes on any thread once the list was read after the connection had
	 * been opened, with whether it showed another version; not at all while the list
	 * cannot be read; never fails
	 */
	CompletableFuture<Boolean> isReplaced(BackendConnection connection, BackendServer server) {
		if (isVersionCertain(server)) {
			return CompletableFuture.completedFuture(false);
		}
		return this.listReads.since(connection.openedAt()).thenApply((read) -> read.showsOtherVersion(server));
	}

	/**
	 * Asks for an early read of the list, so that {@link #isReplaced} completes soon.
	 */
	void readListSoon() {
		this.listReads.readSoon();
	}

	/**
	 * Returns the connections to the same process as a broken one: those that are open,
	 * and those that the backend server has closed lately.
	 * @param process the process
	 * @param broken the broken connection, which is left out, or {@code null} if none was
	 * used
	 * @param closedSince earliest time of the latter, in milliseconds of the clock
	 * @return the connections, with their states as they change
	 */
	List<BackendConnection> others(BackendProcess process, @Nullable BackendConnection broken, long closedSince) {
		ProcessConnections connections = this.processes.get(process);
		List<BackendConnection> others = (connections != null) ? connections.known(closedSince) : new ArrayList<>();
		others.remove(broken);
		return others;
	}

}
