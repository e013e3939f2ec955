package org.sardineport.daemon.relay;

import java.net.InetAddress;
import java.net.Socket;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load pattern: a daemon that is behind reads requests in a burst, and the closes of
 * their callers lie behind them in the sockets.
 */
class LoopPassesTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(20);

	private final Vertx vertx = Vertx.vertx();

	@AfterEach
	void close() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	// Guards against requests that are sent on in the turn that read them, before the
	// close behind them can be read.
	@Test
	void actionRunsInALaterTurnThanTheRead() {
		LoopPasses passes = LoopPasses.create(this.vertx, Clock.systemUTC());
		List<String> order = new ArrayList<>();
		CompletableFuture<List<String>> result = new CompletableFuture<>();
		this.vertx.runOnContext((ignored) -> {
			long turn = passes.observe();
			passes.afterRecentPass(turn, () -> {
				order.add("action, in a later turn: " + (passes.observe() > turn));
				result.complete(order);
			});
			order.add("read");
		});
		assertThat(result).succeedsWithin(TIMEOUT).isEqualTo(List.of("read", "action, in a later turn: true"));
	}

	// Guards against a delay of each request of a daemon that is not behind.
	@Test
	void actionRunsAtOnceAfterARecentPass() {
		LoopPasses passes = LoopPasses.create(this.vertx,
				Clock.fixed(Clock.systemUTC().instant(), Clock.systemUTC().getZone()));
		CompletableFuture<Boolean> result = new CompletableFuture<>();
		this.vertx.runOnContext((ignored) -> {
			long turn = passes.observe();
			this.vertx.setTimer(1, (id) -> {
				AtomicBoolean done = new AtomicBoolean();
				passes.afterRecentPass(turn, () -> done.set(true));
				result.complete(done.get());
			});
		});
		assertThat(result).succeedsWithin(TIMEOUT).isEqualTo(true);
	}

	// Guards against an action that is deferred for ever, as each turn takes long.
	@Test
	void actionRunsEvenIfNoPassIsEverRecent() {
		Clock origin = Clock.systemUTC();
		AtomicLong calls = new AtomicLong();
		LoopPasses passes = LoopPasses.create(this.vertx, () -> origin.instant().plusSeconds(calls.incrementAndGet()));
		CompletableFuture<String> result = new CompletableFuture<>();
		this.vertx.runOnContext((ignored) -> passes.afterRecentPass(passes.observe(), () -> result.complete("ran")));
		assertThat(result).succeedsWithin(TIMEOUT).isEqualTo("ran");
	}

	// A request was sent on for a caller whose close lay in the socket: the event loop
	// was
	// busy when it came. The loop is held up here until the caller has closed.
	@Test
	void closeThatLiesInTheSocketIsReadBeforeTheAction() throws Exception {
		LoopPasses passes = LoopPasses.create(this.vertx, Clock.systemUTC());
		CountDownLatch closed = new CountDownLatch(1);
		CompletableFuture<Boolean> closeKnown = new CompletableFuture<>();
		NetServer server = this.vertx.createNetServer().connectHandler((socket) -> {
			AtomicBoolean disconnected = new AtomicBoolean();
			socket.closeHandler((ignored) -> disconnected.set(true));
			socket.handler((bytes) -> {
				long turn = passes.observe();
				await(closed);
				passes.afterRecentPass(turn, () -> closeKnown.complete(disconnected.get()));
			});
		});
		int port = server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join().actualPort();
		try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), port)) {
			caller.getOutputStream().write('x');
		}
		closed.countDown();
		assertThat(closeKnown).succeedsWithin(TIMEOUT).isEqualTo(true);
	}

	private static void await(CountDownLatch latch) {
		try {
			assertThat(latch.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS)).isTrue();
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
