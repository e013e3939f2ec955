package org.sardineport.daemon.platform;

import java.time.Duration;
import java.util.concurrent.CompletionException;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.net.NetServer;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.port.log.LogFailure;
import org.sardineport.core.port.log.LogService;
import org.sardineport.core.port.log.LogServiceException;
import org.sardineport.standins.log.InMemoryLogService;
import org.sardineport.standins.log.LogServiceStandIn;

/**
 * Runs the log service contract against the HTTP client, and tests connection failures.
 */
class HttpLogServiceTests extends LogServiceContract {

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private static final Duration SHORT_TIMEOUT = Duration.ofMillis(50);

	private final Vertx vertx = Vertx.vertx();

	private final InMemoryLogService service = InMemoryLogService.create();

	private final LogServiceStandIn standIn = LogServiceStandIn.create(this.vertx, this.service);

	private HttpLogService log;

	@BeforeEach
	void start() {
		this.standIn.start().toCompletableFuture().join();
		this.log = HttpLogService.create(this.vertx, this.standIn.address(), TIMEOUT);
	}

	@AfterEach
	void stop() {
		this.log.stop().toCompletableFuture().join();
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	@Override
	LogService log() {
		return this.log;
	}

	@Override
	InMemoryLogService service() {
		return this.service;
	}

	private void assertAppendFails(int port, LogFailure expected) {
		HttpLogService adapter = HttpLogService.create(this.vertx, NetworkAddress.of("127.0.0.1", port), SHORT_TIMEOUT);
		Assertions.assertThatThrownBy(() -> adapter.append("s", new byte[1]).toCompletableFuture().join())
			.isInstanceOf(CompletionException.class)
			.cause()
			.isInstanceOfSatisfying(LogServiceException.class,
					(ex) -> Assertions.assertThat(ex.failure()).isEqualTo(expected));
	}

	@Test
	void reportsUnavailableIfTheConnectionIsRefused() {
		int port = this.standIn.address().port();
		this.standIn.stop().toCompletableFuture().join();
		assertAppendFails(port, LogFailure.UNAVAILABLE);
	}

	@Test
	void reportsUnknownIfTheConnectionCloses() {
		NetServer server = this.vertx.createNetServer()
			.connectHandler((socket) -> socket.handler((bytes) -> socket.close()))
			.listen(0, "127.0.0.1")
			.toCompletionStage()
			.toCompletableFuture()
			.join();
		assertAppendFails(server.actualPort(), LogFailure.UNKNOWN);
	}

	@Test
	void reportsUnknownIfTheAppendTimesOut() {
		NetServer server = this.vertx.createNetServer().connectHandler((socket) -> socket.handler((bytes) -> {
		})).listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join();
		assertAppendFails(server.actualPort(), LogFailure.UNKNOWN);
	}

	@Test
	void reportsUnknownIfAnErrorDoesNotStateTheEffect() {
		HttpServer server = this.vertx.createHttpServer()
			.requestHandler((request) -> request.response().setStatusCode(503).end())
			.listen(0, "127.0.0.1")
			.toCompletionStage()
			.toCompletableFuture()
			.join();
		assertAppendFails(server.actualPort(), LogFailure.UNKNOWN);
	}

	@Test
	void reportsUnknownIfTheResponseIsMalformed() {
		HttpServer server = this.vertx.createHttpServer()
			.requestHandler((request) -> request.response().end())
			.listen(0, "127.0.0.1")
			.toCompletionStage()
			.toCompletableFuture()
			.join();
		assertAppendFails(server.actualPort(), LogFailure.UNKNOWN);
	}

}
