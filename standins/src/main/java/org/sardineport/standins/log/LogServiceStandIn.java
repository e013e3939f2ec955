package org.sardineport.standins.log;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.lifecycle.Service;
import org.sardineport.core.port.log.LogFailure;
import org.sardineport.core.port.log.LogRecord;
import org.sardineport.core.port.log.LogServiceException;
import org.sardineport.core.port.log.LogSlice;

/**
 * HTTP front end of an {@link InMemoryLogService} on a loopback port. The protocol is
 * described for the package. Starting and stopping are not thread-safe.
 */
public final class LogServiceStandIn implements Service {

	private static final String LOOPBACK = "127.0.0.1";

	private static final String PATH_PREFIX = "/v1/streams/";

	private static final String PATH_SUFFIX = "/records";

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	private static final int GONE = 410;

	private static final int TOO_LARGE = 413;

	private static final int UNAVAILABLE = 503;

	private final Vertx vertx;

	private final InMemoryLogService log;

	private final int port;

	private @Nullable HttpServer server;

	private LogServiceStandIn(Vertx vertx, InMemoryLogService log, int port) {
		this.vertx = Objects.requireNonNull(vertx, "vertx must not be null");
		this.log = Objects.requireNonNull(log, "log must not be null");
		this.port = port;
	}

	/**
	 * Creates a server that will listen on a free port.
	 * @param vertx runs the HTTP server
	 * @param log the log service that it exposes
	 * @return the server, which has not been started
	 */
	public static LogServiceStandIn create(Vertx vertx, InMemoryLogService log) {
		return new LogServiceStandIn(vertx, log, 0);
	}

	/**
	 * Creates a server that will listen on the given port.
	 * @param vertx runs the HTTP server
	 * @param log the log service that it exposes
	 * @param port the port, 0 for a free one
	 * @return the server, which has not been started
	 */
	public static LogServiceStandIn create(Vertx vertx, InMemoryLogService log, int port) {
		return new LogServiceStandIn(vertx, log, port);
	}

	@Override
	public CompletionStage<Void> start() {
		HttpServerOptions options = new HttpServerOptions().setHost(LOOPBACK).setPort(this.port);
		this.server = this.vertx.createHttpServer(options).requestHandler(this::handle);
		return this.server.listen().<Void>mapEmpty().toCompletionStage();
	}

	@Override
	public CompletionStage<Void> stop() {
		HttpServer started = this.server;
		return (started != null) ? started.close().toCompletionStage() : CompletableFuture.completedFuture(null);
	}

	/**
	 * Returns the address at which the server listens. Valid after the start.
	 * @return the loopback address
	 * @throws NullPointerException if the server was not started
	 */
	public NetworkAddress address() {
		return NetworkAddress.of(LOOPBACK, Objects.requireNonNull(this.server, "server must be started").actualPort());
	}

	private void handle(HttpServerRequest request) {
		String path = request.path();
		if (!path.startsWith(PATH_PREFIX) || !path.endsWith(PATH_SUFFIX)
				|| path.length() <= PATH_PREFIX.length() + PATH_SUFFIX.length()) {
			request.response().setStatusCode(NOT_FOUND).end();
			return;
		}
		String stream = path.substring(PATH_PREFIX.length(), path.length() - PATH_SUFFIX.length());
		if (request.method().equals(HttpMethod.POST)) {
			request.body().onSuccess((body) -> append(request, stream, body));
		}
		else {
			read(request, stream);
		}
	}

	private void append(HttpServerRequest request, String stream, Buffer body) {
		this.log.append(stream, body.getBytes()).whenComplete((offset, error) -> {
			if (error == null) {
				request.response().setStatusCode(OK).putHeader("Log-Offset", Long.toString(offset)).end();
			}
			else {
				respondWithFailure(request, error);
			}
		});
	}

	private void read(HttpServerRequest request, String stream) {
		long from = Long.parseLong(request.getParam("from"));
		int maximum = Integer.parseInt(request.getParam("maximum"));
		Duration wait = Duration.ofMillis(Long.parseLong(request.getParam("wait")));
		this.log.read(stream, from, maximum, wait).whenComplete((slice, error) -> {
			if (error == null) {
				respond(request.response(), slice);
			}
			else {
				respondWithFailure(request, error);
			}
		});
	}

	private void respond(HttpServerResponse response, LogSlice slice) {
		Buffer body = Buffer.buffer();
		for (LogRecord record : slice.records()) {
			body.appendLong(record.offset())
				.appendLong(record.appendedAt().toEpochMilli())
				.appendInt(record.value().length)
				.appendBytes(record.value());
		}
		response.setStatusCode(OK)
			.putHeader("Log-Next-Offset", Long.toString(slice.nextOffset()))
			.putHeader("Log-End-Offset", Long.toString(slice.endOffset()))
			.end(body);
	}

	private void respondWithFailure(HttpServerRequest request, Throwable error) {
		LogFailure failure = failureOf(error);
		if (failure == LogFailure.UNKNOWN) {
			request.connection().close();
			return;
		}
		request.response().setStatusCode(switch (failure) {
			case OFFSET_EXPIRED -> GONE;
			case RECORD_TOO_LARGE -> TOO_LARGE;
			default -> UNAVAILABLE;
		})
			.putHeader("Log-Effect", "none")
			.end(Buffer.buffer(String.valueOf(error.getMessage()).getBytes(StandardCharsets.UTF_8)));
	}

	private static LogFailure failureOf(Throwable error) {
		Throwable cause = (error instanceof CompletionException) ? error.getCause() : error;
		return (cause instanceof LogServiceException known) ? known.failure() : LogFailure.UNKNOWN;
	}

}
