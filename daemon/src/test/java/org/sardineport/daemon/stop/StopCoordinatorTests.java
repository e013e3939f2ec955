package org.sardineport.daemon.stop;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.sardineport.core.stop.StopTiming;
import org.sardineport.daemon.telemetry.Telemetry;
import org.sardineport.daemon.time.SteadyInstantSource;

import static org.assertj.core.api.Assertions.assertThat;

class StopCoordinatorTests {

	private static final long TIMEOUT_SECONDS = 20;

	private final Telemetry telemetry = Telemetry.create();

	private final RecordingActions actions = new RecordingActions();

	private StopCoordinator duty(Duration linger, Duration limit) {
		return StopCoordinator.create(new StopTiming(linger, limit), this.actions, SteadyInstantSource.create(),
				this.telemetry);
	}

	private static void await(CompletionStage<Void> stage) throws Exception {
		stage.toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

	@Test
	void runsPhasesInOrder() throws Exception {
		this.actions.announced.complete(null);
		this.actions.flushed.complete(null);
		await(duty(Duration.ofMillis(50), Duration.ZERO).request());
		assertThat(this.actions.calls).containsExactly("announce", "refuse", "flush");
	}

	@Test
	void acceptsRequestsUntilStopIsAnnounced() throws Exception {
		StopCoordinator duty = duty(Duration.ZERO, Duration.ZERO);
		CompletionStage<Void> ended = duty.request();
		await(this.actions.inFlightQueried);
		assertThat(this.actions.calls).doesNotContain("refuse");
		this.actions.flushed.complete(null);
		this.actions.announced.complete(null);
		await(ended);
	}

	@Test
	void waitsForRequestsInFlightAndThenForFlush() throws Exception {
		this.actions.inFlight = 1;
		this.actions.announced.complete(null);
		CompletionStage<Void> ended = duty(Duration.ZERO, Duration.ZERO).request();
		await(this.actions.refused);
		assertThat(this.actions.calls).doesNotContain("flush");
		this.actions.inFlight = 0;
		await(this.actions.flushRequested);
		assertThat(ended.toCompletableFuture()).isNotDone();
		this.actions.flushed.complete(null);
		await(ended);
	}

	@Test
	void ignoresSecondStopRequest() throws Exception {
		this.actions.announced.complete(null);
		this.actions.flushed.complete(null);
		StopCoordinator duty = duty(Duration.ofMillis(100), Duration.ZERO);
		CompletionStage<Void> first = duty.request();
		CompletionStage<Void> second = duty.request();
		await(first);
		await(second);
		assertThat(this.actions.calls).containsExactly("announce", "refuse", "flush");
		assertThat(this.telemetry.counter("stop.request-ignored").getCount()).isEqualTo(1);
	}

	@Test
	void endsAfterFailedFlush() throws Exception {
		this.actions.announced.complete(null);
		this.actions.flushed.completeExceptionally(new IllegalStateException("expected by the test"));
		await(duty(Duration.ZERO, Duration.ZERO).request());
	}

	@Test
	void countsRequestsCutOffByLimit() throws Exception {
		this.actions.inFlight = 3;
		this.actions.announced.complete(null);
		this.actions.flushed.complete(null);
		await(duty(Duration.ZERO, Duration.ofMillis(50)).request());
		assertThat(this.telemetry.counter("stop.cut-off").getCount()).isEqualTo(3);
	}

	/**
	 * Records the calls that the stop makes.
	 */
	private static final class RecordingActions implements StopActions {

		private final List<String> calls = new CopyOnWriteArrayList<>();

		private final CompletableFuture<Void> announced = new CompletableFuture<>();

		private final CompletableFuture<Void> flushed = new CompletableFuture<>();

		private final CompletableFuture<Void> inFlightQueried = new CompletableFuture<>();

		private final CompletableFuture<Void> refused = new CompletableFuture<>();

		private final CompletableFuture<Void> flushRequested = new CompletableFuture<>();

		private volatile int inFlight;

		@Override
		public boolean hasNeverServed() {
			return false;
		}

		@Override
		public CompletionStage<Void> announce() {
			this.calls.add("announce");
			return this.announced;
		}

		@Override
		public void refuseNewRequests() {
			this.calls.add("refuse");
			this.refused.complete(null);
		}

		@Override
		public int inFlight() {
			this.inFlightQueried.complete(null);
			return this.inFlight;
		}

		@Override
		public CompletionStage<Void> flush() {
			this.calls.add("flush");
			this.flushRequested.complete(null);
			return this.flushed;
		}

	}

}
