package org.sardineport.daemon.relay;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards that a timer ends with its work, and starts again with the next.
 */
class DemandTimerTests {

	private final Vertx vertx = Vertx.vertx();

	private int left;

	private CompletableFuture<Void> done = new CompletableFuture<>();

	private final DemandTimer timer = new DemandTimer(this.vertx, Duration.ofMillis(1), this::work);

	@AfterEach
	void close() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	private boolean work() {
		this.left--;
		if (this.left == 0) {
			// Runs after the timer was cancelled for want of work.
			this.vertx.runOnContext((ignored) -> this.done.complete(null));
		}
		return this.left > 0;
	}

	private boolean startedFor(int runs) {
		CompletableFuture<Boolean> started = new CompletableFuture<>();
		this.vertx.runOnContext((ignored) -> {
			this.left = runs;
			this.done = new CompletableFuture<>();
			started.complete(this.timer.start());
		});
		return started.join();
	}

	@Test
	void runsWhileThereIsWorkAndCanBeStartedAgain() {
		assertThat(startedFor(3)).isTrue();
		this.done.join();
		assertThat(this.left).isZero();
		assertThat(startedFor(2)).isTrue();
		this.done.join();
		assertThat(this.left).isZero();
	}

	@Test
	void startsOnlyOnce() {
		CompletableFuture<Boolean> second = new CompletableFuture<>();
		this.vertx.runOnContext((ignored) -> {
			this.left = Integer.MAX_VALUE;
			this.timer.start();
			second.complete(this.timer.start());
		});
		assertThat(second.join()).isFalse();
		this.timer.cancel();
	}

}
