package org.sardineport.daemon.http;

import java.time.Duration;

import com.codahale.metrics.Counter;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardineport.core.identity.NetworkAddress;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards that idle connections are closed and counted, and that connections with a
 * request in flight stay open.
 */
class IdleConnectionsTests {

	private static final Duration TIMEOUT = Duration.ofMillis(200);

	private final Vertx vertx = Vertx.vertx();

	private final Counter closed = new Counter();

	private final IdleConnections connections = new IdleConnections(this.vertx, TIMEOUT, this.closed);

	private NetworkAddress address;

	@BeforeEach
	void start() {
		HttpServer server = this.vertx.createHttpServer(new HttpServerOptions().setHttp2ClearTextEnabled(false))
			.connectionHandler(this.connections::opened)
			.requestHandler((request) -> {
				this.connections.requestStarted(request.connection());
				long delay = (request.path().equals("/slow")) ? 3 * TIMEOUT.toMillis() : 1;
				this.vertx.setTimer(delay,
						(id) -> request.response()
							.end("done")
							.onComplete((ignored) -> this.connections.requestEnded(request.connection())));
			});
		int port = CallerFixture.await(server.listen(0, "127.0.0.1").toCompletionStage()).actualPort();
		this.address = NetworkAddress.of("127.0.0.1", port);
	}

	@AfterEach
	void stop() {
		CallerFixture.await(this.vertx.close().toCompletionStage());
	}

	@Test
	void closesAConnectionThatNeverCompletesARequestHead() throws Exception {
		try (RawCaller caller = new RawCaller(this.address)) {
			caller.send("GET / HTTP/1.1\r\nHost:");
			assertThat(caller.readAll()).isEmpty();
		}
		assertThat(this.closed.getCount()).isOne();
	}

	@Test
	void keepsAConnectionOpenDuringASlowResponse() throws Exception {
		try (RawCaller caller = new RawCaller(this.address)) {
			caller.send("GET /slow HTTP/1.1\r\nHost: x\r\n\r\n");
			assertThat(caller.readUntil("done")).endsWith("done");
			assertThat(this.closed.getCount()).isZero();
		}
	}

	@Test
	void closesAConnectionThatIsIdleAfterARequest() throws Exception {
		try (RawCaller caller = new RawCaller(this.address)) {
			caller.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
			assertThat(caller.readAll()).endsWith("done");
		}
		assertThat(this.closed.getCount()).isOne();
	}

}
