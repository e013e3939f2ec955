package org.sardineport.daemon.http;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.exchange.BearerTokens;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.lifecycle.Service;
import org.sardineport.daemon.telemetry.PrometheusText;

/**
 * HTTP server for operators: health, readiness, metrics, status and profiles. All
 * resources except health and readiness require the operators' bearer token.
 */
public final class OperatorServer implements Service {

	private static final int STATUS_OK = 200;

	private static final int STATUS_UNAUTHORIZED = 401;

	private static final int STATUS_NOT_FOUND = 404;

	private static final int STATUS_NOT_ALLOWED = 405;

	private static final int STATUS_UNAVAILABLE = 503;

	private static final String JSON_TYPE = "application/json";

	private final Vertx vertx;

	private final NetworkAddress address;

	private final List<String> tokenHashes;

	private final OperatorServices services;

	private final ObjectMapper json = new ObjectMapper();

	private @Nullable HttpServer server;

	private OperatorServer(Vertx vertx, NetworkAddress address, String token, OperatorServices services) {
		this.vertx = Objects.requireNonNull(vertx, "vertx must not be null");
		this.address = Objects.requireNonNull(address, "address must not be null");
		this.tokenHashes = List.of(BearerTokens.hash(token));
		this.services = Objects.requireNonNull(services, "services must not be null");
	}

	/**
	 * Returns a server that does not listen until it is started.
	 * @param vertx the Vert.x instance that runs the server
	 * @param address the address to listen on
	 * @param token the operators' bearer token
	 * @param services the sources of the data that is served
	 * @return the server
	 */
	public static OperatorServer create(Vertx vertx, NetworkAddress address, String token, OperatorServices services) {
		return new OperatorServer(vertx, address, token, services);
	}

	@Override
	public CompletionStage<Void> start() {
		HttpServerOptions options = new HttpServerOptions().setHost(this.address.ip()).setPort(this.address.port());
		HttpServer created = this.vertx.createHttpServer(options).requestHandler(this::handle);
		this.server = created;
		return created.listen().<Void>mapEmpty().toCompletionStage();
	}

	@Override
	public CompletionStage<Void> stop() {
		HttpServer started = this.server;
		return (started != null) ? started.close().toCompletionStage() : CompletableFuture.completedStage(null);
	}

	private void handle(HttpServerRequest request) {
		if (!request.method().equals(HttpMethod.GET)) {
			respond(request, STATUS_NOT_ALLOWED, JSON_TYPE, "{\"remedy\":\"Use GET.\"}");
			return;
		}
		switch (request.path()) {
			case "/health" -> respond(request, STATUS_OK, JSON_TYPE, "{\"healthy\":true}");
			case "/ready" -> handleReady(request);
			default -> handleAuthorized(request);
		}
	}

	private void handleReady(HttpServerRequest request) {
		List<String> blockers = this.services.readiness().blockers();
		respond(request, (blockers.isEmpty()) ? STATUS_OK : STATUS_UNAVAILABLE, JSON_TYPE,
				toJson(new ReadyJson(blockers.isEmpty(), blockers)));
	}

	private void handleAuthorized(HttpServerRequest request) {
		if (!BearerTokens.isAccepted(this.tokenHashes, request.headers()::getAll)) {
			request.response().putHeader("WWW-Authenticate", "Bearer");
			respond(request, STATUS_UNAUTHORIZED, JSON_TYPE,
					"{\"remedy\":\"Send the operators' token of the settings as a bearer token.\"}");
			return;
		}
		switch (request.path()) {
			case "/metrics" -> respond(request, STATUS_OK, PrometheusText.CONTENT_TYPE,
					PrometheusText.write(this.services.telemetry().registry()));
			case "/status" -> respond(request, STATUS_OK, JSON_TYPE, toJson(status()));
			case "/profiles" -> respond(request, STATUS_OK, JSON_TYPE, toJson(profiles()));
			default -> respond(request, STATUS_NOT_FOUND, JSON_TYPE,
					"{\"remedy\":\"Use /health, /ready, /metrics, /status or /profiles.\"}");
		}
	}

	private StatusJson status() {
		return StatusJson.of(this.services.fleet().current(), this.services.configuration().current().version(),
				this.services.readiness().blockers(), this.services.inFlight().getAsInt());
	}

	private List<ProfileJson> profiles() {
		return this.services.configuration()
			.current()
			.profiles()
			.values()
			.stream()
			.sorted((first, second) -> first.name().compareTo(second.name()))
			.map(ProfileJson::of)
			.toList();
	}

	private void respond(HttpServerRequest request, int status, String contentType, String body) {
		request.response()
			.setStatusCode(status)
			.putHeader("Content-Type", contentType)
			.putHeader("Cache-Control", "no-store")
			.end(Buffer.buffer(body));
	}

	private String toJson(Object value) {
		try {
			return this.json.writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("an operator response must be serializable to JSON", ex);
		}
	}

	/**
	 * Response body of the readiness check, with the reasons for not being ready.
	 */
	private record ReadyJson(boolean ready, List<String> reasons) {

	}

}
