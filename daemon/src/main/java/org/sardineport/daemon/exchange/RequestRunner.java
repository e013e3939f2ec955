package org.sardineport.daemon.exchange;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.exchange.InFlightLimit;
import org.sardineport.core.journal.JournalClaim;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;
import org.sardineport.core.request.Tier;

/**
 * Starts runs, and limits and counts those in flight. Thread-safe.
 */
public final class RequestRunner {

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private final RunServices services;

	private final InFlightLimit limit;

	private volatile @Nullable CompletableFuture<Void> drained;

	private RequestRunner(RunServices services, int maxInFlight) {
		this.limit = InFlightLimit.of(maxInFlight);
		this.services = Objects.requireNonNull(services, "services must not be null");
	}

	/**
	 * Creates a runner.
	 * @param services the shared services
	 * @param maxInFlight maximum number of concurrent runs, as {@link InFlightLimit}
	 * counts them
	 * @return the runner
	 */
	public static RequestRunner create(RunServices services, int maxInFlight) {
		return new RequestRunner(services, maxInFlight);
	}

	/**
	 * Returns whether a request would be accepted now.
	 * @param tier the tier of the request
	 * @return whether the in-flight limit leaves room for that tier
	 */
	public boolean hasRoomFor(Tier tier) {
		return this.limit.hasCapacityFor(tier);
	}

	/**
	 * Returns the refusal for a request that exceeds the in-flight limit.
	 * @return the refusal
	 */
	public static Refusal capacityRefusal() {
		return Refusal.retryAfter(RefusalReason.RING_FULL, "The daemon holds as many requests as it may.", RETRY_AFTER);
	}

	/**
	 * Starts a run, or refuses the request if the in-flight limit is reached. Must be
	 * called on the given executor.
	 * @param request the request
	 * @param sink receives the response
	 * @param executor executes all steps of the run
	 * @param respondAsync whether the caller prefers a response as soon as the journal
	 * has accepted the request; applies to durable requests only
	 * @return a handle that ignores all calls if the request was refused
	 */
	public RunHandle run(RunRequest request, ResponseSink sink, SerialExecutor executor, boolean respondAsync) {
		Tier tier = request.scheduling().tier();
		if (!this.limit.tryAcquire(tier)) {
			sink.refuse(capacityRefusal());
			return () -> {
			};
		}
		this.services.retryBudget().earn();
		if (request.key() != null) {
			KeyedRun keyed = new KeyedRun(this.services, request, sink, executor, respondAsync && request.durable(),
					() -> end(tier));
			keyed.start();
			return keyed;
		}
		RequestRun run = new RequestRun(this.services, request, sink, executor, NoOpDispatchRecorder.INSTANCE,
				() -> end(tier));
		run.start();
		return run::callerDisconnected;
	}

	/**
	 * Runs a durable request that a failed daemon had accepted and this daemon has
	 * claimed. The run is counted, but the in-flight limit does not refuse it.
	 * @param request the request
	 * @param claim the claim of this daemon
	 * @param executor executes all steps of the run
	 */
	public void takeOver(RunRequest request, JournalClaim claim, SerialExecutor executor) {
		Tier tier = request.scheduling().tier();
		this.limit.acquireUnchecked(tier);
		ClaimDispatchRecorder recorder = new ClaimDispatchRecorder(this.services.journal(), claim,
				this.services.maxResponseBytes());
		DetachedSink sink = new DetachedSink(this.services.telemetry());
		RequestRun run = new RequestRun(this.services, request, sink, executor, recorder, () -> end(tier));
		executor.execute(run::start);
	}

	/**
	 * Counts work of a tier that is no run of this daemon, such as the collection of a
	 * response. The in-flight limit does not refuse it.
	 * @param tier the tier
	 * @return must be run exactly once, when the work has ended
	 */
	Runnable begin(Tier tier) {
		this.limit.acquireUnchecked(tier);
		return () -> end(tier);
	}

	/**
	 * Returns the number of runs in flight.
	 * @return the number of runs
	 */
	public int inFlight() {
		return this.limit.inFlight();
	}

	/**
	 * Returns a stage that completes when no run is in flight. New runs can still be
	 * started and delay it. A later call replaces a stage that has not completed yet.
	 * @return the stage
	 */
	public CompletionStage<Void> whenDrained() {
		CompletableFuture<Void> waiting = new CompletableFuture<>();
		this.drained = waiting;
		if (this.limit.inFlight() == 0) {
			waiting.complete(null);
		}
		return waiting;
	}

	private void end(Tier tier) {
		this.limit.release(tier);
		CompletableFuture<Void> waiting = this.drained;
		if (this.limit.inFlight() == 0 && waiting != null) {
			waiting.complete(null);
		}
	}

}
