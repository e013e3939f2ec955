package org.sardineport.cli;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;

/**
 * HTTP server that returns configured bodies in place of a daemon's ports.
 */
final class FakeDaemon implements AutoCloseable {

	static final String TOKEN = "an-operators-token";

	private final Vertx vertx = Vertx.vertx();

	private final Map<String, Deque<String>> responses = new ConcurrentHashMap<>();

	private final HttpServer server;

	FakeDaemon() {
		this.server = this.vertx.createHttpServer(new HttpServerOptions().setHost("127.0.0.1").setPort(0))
			.requestHandler(this::handle)
			.listen()
			.toCompletionStage()
			.toCompletableFuture()
			.join();
	}

	String address() {
		return "127.0.0.1:" + this.server.actualPort();
	}

	/** Sets the bodies to return for a path, in order; the last one is repeated. */
	void respond(String path, String... bodies) {
		this.responses.put(path, new ConcurrentLinkedDeque<>(List.of(bodies)));
	}

	private String next(String path) {
		Deque<String> bodies = this.responses.getOrDefault(path, new ArrayDeque<>());
		return (bodies.size() > 1) ? bodies.poll() : bodies.peek();
	}

	private void handle(HttpServerRequest request) {
		boolean authorized = request.path().startsWith("/v1/")
				|| ("Bearer " + TOKEN).equals(request.getHeader("Authorization"));
		String body = next(request.path());
		int status = (body != null) ? 200 : 404;
		request.response().setStatusCode(authorized ? status : 401).end((body != null) ? body : "");
	}

	@Override
	public void close() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

}
