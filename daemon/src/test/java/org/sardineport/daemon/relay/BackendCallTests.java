package org.sardineport.daemon.relay;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Context;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.identity.NetworkAddress;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Counts what one response brings in one turn of the event loop.
 */
class BackendCallTests {

	private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

	private static final int PARTS = 100_000;

	/** What the library holds of a response that was paused, and one read. */
	private static final int MAX_PARTS = 100;

	private final Vertx vertx = Vertx.vertx();

	@AfterEach
	void close() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	// Guards against a backend server that holds up all other requests of the daemon by a
	// response in very many parts.
	@Test
	void partsOfOneTurnAreFewHoweverManyTheServerSends() throws Exception {
		TurnCounter counter = call("9\r\nabcdefghi\r\n".repeat(PARTS) + "0\r\n\r\n");
		assertThat(counter.result.get(20, TimeUnit.SECONDS)).isEqualTo("completed");
		assertThat(counter.bytes).isEqualTo(9L * PARTS);
		assertThat(counter.maxParts).as("parts in a turn").isLessThanOrEqualTo(MAX_PARTS);
		assertThat(counter.maxBytes).as("bytes in a turn").isLessThanOrEqualTo(ReadSize.MAX_RESPONSE_BYTES);
	}

	// Guards against backend servers that send parts of one byte without end.
	@Test
	void tinyPartsWithoutEndAreMalformed() throws Exception {
		TurnCounter counter = call("1\r\na\r\n".repeat(PARTS) + "0\r\n\r\n");
		assertThat(counter.result.get(20, TimeUnit.SECONDS)).startsWith("malformed");
		assertThat(counter.bytes).isLessThanOrEqualTo(ResponseParts.MAX_TINY_PARTS);
	}

	private TurnCounter call(String body) throws Exception {
		ServerSocket listening = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
		Thread server = new Thread(() -> serve(listening, HEAD, body), "server");
		server.setDaemon(true);
		server.start();
		Context context = this.vertx.getOrCreateContext();
		TurnCounter counter = new TurnCounter(context);
		BackendServer asked = TestConnections.server("server",
				NetworkAddress.of("127.0.0.1", listening.getLocalPort()));
		BackendCall call = new BackendCall(TestConnections.create(this.vertx, Clock.systemUTC()), asked, counter);
		counter.call = call;
		context.runOnContext((ignored) -> call.send("GET", "/", MultiMap.caseInsensitiveMultiMap(), Buffer.buffer(),
				Duration.ofSeconds(1)));
		return counter;
	}

	private static void serve(ServerSocket listening, String head, String body) {
		try (listening; Socket socket = listening.accept()) {
			socket.getInputStream().read();
			OutputStream output = socket.getOutputStream();
			output.write((head + body).getBytes(StandardCharsets.ISO_8859_1));
			socket.getInputStream().readAllBytes();
		}
		catch (IOException ex) {
			// The connection was closed here.
		}
	}

	/**
	 * Counts parts and bytes between two turns of the event loop. Confined to it, except
	 * after the result is there.
	 */
	private static final class TurnCounter implements BackendCallListener {

		private final CompletableFuture<String> result = new CompletableFuture<>();

		private final Context context;

		private BackendCall call;

		private boolean turnBegun;

		private int partsOfTurn;

		private int bytesOfTurn;

		private int maxParts;

		private int maxBytes;

		private long bytes;

		TurnCounter(Context context) {
			this.context = context;
		}

		@Override
		public boolean maySend() {
			return true;
		}

		@Override
		public void notConnected(String cause) {
			this.result.complete("not connected: " + cause);
		}

		// Lets the server fill the buffers of the connection.
		@Override
		public void headReceived(int status, MultiMap headers) {
			this.call.pause();
			Vertx.currentContext().owner().setTimer(200, (id) -> this.call.resume());
		}

		@Override
		public void dataReceived(Buffer received) {
			if (!this.turnBegun) {
				this.turnBegun = true;
				this.context.runOnContext((ignored) -> endTurn());
			}
			this.partsOfTurn++;
			this.bytesOfTurn += received.length();
			this.bytes += received.length();
		}

		private void endTurn() {
			this.maxParts = Math.max(this.maxParts, this.partsOfTurn);
			this.maxBytes = Math.max(this.maxBytes, this.bytesOfTurn);
			this.turnBegun = false;
			this.partsOfTurn = 0;
			this.bytesOfTurn = 0;
		}

		@Override
		public void responseCompleted() {
			this.context.runOnContext((ignored) -> this.result.complete("completed"));
		}

		@Override
		public void connectionBroke(String cause) {
			this.result.complete("broke: " + cause);
		}

		@Override
		public void responseMalformed(String cause) {
			this.result.complete("malformed: " + cause);
		}

	}

}
