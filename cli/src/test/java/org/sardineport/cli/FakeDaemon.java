package org.sardineport.cli;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;

/**
 * Answers with fixed texts in place of a daemon's ports.
 */
final class FakeDaemon implements AutoCloseable {

	static final String TOKEN = "an-operators-token";

	private final Vertx vertx = Vertx.vertx();

	private final Map<String, String> answers = new ConcurrentHashMap<>();

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

	void answer(String path, String body) {
		this.answers.put(path, body);
	}

	private void handle(HttpServerRequest request) {
		boolean authorized = request.path().startsWith("/v1/")
				|| ("Bearer " + TOKEN).equals(request.getHeader("Authorization"));
		String body = this.answers.get(request.path());
		int status = (body != null) ? 200 : 404;
		request.response().setStatusCode(authorized ? status : 401).end((body != null) ? body : "");
	}

	@Override
	public void close() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

}
