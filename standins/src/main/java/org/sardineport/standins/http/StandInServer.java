package org.sardineport.standins.http;

import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;

import io.vertx.core.Context;
import io.vertx.core.Deployable;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.lifecycle.Service;

/**
 * HTTP server on a loopback port that the operating system chooses. Handles all requests
 * on one Vert.x context. It can simulate a crash, which closes all connections, and
 * restart on the same port. Thread-safe.
 */
public final class StandInServer implements Service {

	private static final String LOOPBACK = "127.0.0.1";

	private static final int IDLE_TIMEOUT_SECONDS = 60;

	private final Vertx vertx;

	private final Handler<HttpServerRequest> handler;

	private final Set<HttpConnection> connections = ConcurrentHashMap.newKeySet();

	private volatile @Nullable Context context;

	private volatile @Nullable HttpServer server;

	private volatile int port;

	private StandInServer(Vertx vertx, Handler<HttpServerRequest> handler) {
		this.vertx = Objects.requireNonNull(vertx, "vertx must not be null");
		this.handler = Objects.requireNonNull(handler, "handler must not be null");
	}

	/**
	 * Creates a server that has not been started.
	 * @param vertx runs the HTTP server
	 * @param handler handles each request, always on the same context
	 * @return the server
	 */
	public static StandInServer create(Vertx vertx, Handler<HttpServerRequest> handler) {
		return new StandInServer(vertx, handler);
	}

	@Override
	public CompletionStage<Void> start() {
		Deployable deployable = (deployed) -> {
			this.context = deployed;
			return listen();
		};
		return this.vertx.deployVerticle(deployable).<Void>mapEmpty().toCompletionStage();
	}

	@Override
	public CompletionStage<Void> stop() {
		return crash();
	}

	/**
	 * Returns the address at which the server listens. Valid after the start.
	 * @return the loopback address
	 */
	public NetworkAddress address() {
		return NetworkAddress.of(LOOPBACK, this.port);
	}

	/**
	 * Closes the port and all connections at once, without draining requests. Has no
	 * effect if the server is not listening.
	 * @return a stage that completes when the port is closed
	 */
	public CompletionStage<Void> crash() {
		HttpServer listening = this.server;
		this.server = null;
		if (listening == null) {
			return CompletableFuture.completedStage(null);
		}
		CompletableFuture<Void> closed = new CompletableFuture<>();
		execute(() -> {
			Set.copyOf(this.connections).forEach(HttpConnection::close);
			listening.close().onComplete((ignored) -> closed.complete(null));
		});
		return closed;
	}

	/**
	 * Listens again on the same port after a crash.
	 * @return a stage that completes when the port is open, and fails if it cannot be
	 * opened
	 */
	public CompletionStage<Void> restart() {
		CompletableFuture<Void> listening = new CompletableFuture<>();
		execute(() -> listen().onComplete((result) -> {
			if (result.succeeded()) {
				listening.complete(null);
			}
			else {
				listening.completeExceptionally(result.cause());
			}
		}));
		return listening;
	}

	/**
	 * Runs a task on the context that handles the requests.
	 * @param task the task
	 * @throws NullPointerException if the server was never started
	 */
	public void execute(Runnable task) {
		Context running = Objects.requireNonNull(this.context, "server must be started");
		running.runOnContext((ignored) -> task.run());
	}

	private Future<Void> listen() {
		HttpServerOptions options = new HttpServerOptions().setHost(LOOPBACK)
			.setPort(this.port)
			.setTcpNoDelay(true)
			.setIdleTimeout(IDLE_TIMEOUT_SECONDS);
		HttpServer created = this.vertx.createHttpServer(options).connectionHandler(this::trackConnection);
		return created.requestHandler(this.handler).listen().map((listening) -> {
			this.port = listening.actualPort();
			this.server = listening;
			return null;
		});
	}

	private void trackConnection(HttpConnection connection) {
		this.connections.add(connection);
		connection.closeHandler((ignored) -> this.connections.remove(connection));
	}

}
