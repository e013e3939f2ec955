package org.sardineport.daemon.eventloop;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EventLoopTests {

	private static final Duration NO_TICK = Duration.ofDays(1);

	private static EventLoop duty(int ringSize) {
		return EventLoop.create("test", ringSize, NO_TICK, () -> {
		});
	}

	@Test
	void runsCommandsInOrderOnOneThread() {
		EventLoop duty = duty(16);
		List<String> seen = new ArrayList<>();
		duty.start();
		CompletableFuture<Void> done = new CompletableFuture<>();
		duty.offer(() -> seen.add("first " + Thread.currentThread().getName()));
		duty.offer(() -> {
			seen.add("second " + Thread.currentThread().getName());
			done.complete(null);
		});
		done.join();
		assertThat(seen).containsExactly("first test", "second test");
		duty.stop().toCompletableFuture().join();
	}

	@Test
	void rejectsCommandsWhenRingIsFull() {
		EventLoop duty = duty(2);
		Runnable nothing = () -> {
		};
		assertThat(duty.offer(nothing)).isTrue();
		assertThat(duty.offer(nothing)).isTrue();
		assertThat(duty.offer(nothing)).isFalse();
		assertThat(duty.pendingCommands()).isEqualTo(2);
	}

	@Test
	void continuesAfterFailedCommand() {
		EventLoop duty = duty(16);
		CompletableFuture<Void> done = new CompletableFuture<>();
		duty.offer(() -> {
			throw new IllegalStateException("expected by the test");
		});
		duty.offer(() -> done.complete(null));
		duty.start();
		done.join();
		duty.stop().toCompletableFuture().join();
	}

	@Test
	void runsPendingCommandsBeforeStopping() {
		EventLoop duty = duty(16);
		List<Integer> seen = new ArrayList<>();
		for (int i = 0; i < 10; i++) {
			int number = i;
			duty.offer(() -> seen.add(number));
		}
		duty.start();
		duty.stop().toCompletableFuture().join();
		assertThat(seen).hasSize(10);
	}

	// A command that creates work for the periodic task must wake it from a sleep without
	// end.
	@Test
	void runsPeriodicTaskOnceACommandHasCreatedWork() {
		AtomicBoolean hasWork = new AtomicBoolean();
		CompletableFuture<Void> ran = new CompletableFuture<>();
		EventLoop duty = EventLoop.onDemand("test", 16, Duration.ofMillis(1), () -> {
			if (hasWork.get()) {
				ran.complete(null);
			}
		}, () -> hasWork.get() ? Duration.ZERO : NO_TICK);
		duty.start();
		duty.offer(() -> hasWork.set(true));
		ran.join();
		duty.stop().toCompletableFuture().join();
	}

}
