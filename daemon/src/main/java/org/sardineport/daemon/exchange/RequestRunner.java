package org.sardineport.daemon.exchange;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.journal.JournalClaim;

/**
 * Starts runs and counts those that are not over. Safe for use by any thread.
 */
public final class RequestRunner {

	private final RunServices services;

	private final AtomicInteger inFlight = new AtomicInteger();

	private volatile @Nullable CompletableFuture<Void> drained;

	private RequestRunner(RunServices services) {
		this.services = Objects.requireNonNull(services, "services must not be null");
	}

	/**
	 * Returns a runner.
	 * @param services what runs use
	 * @return the runner
	 */
	public static RequestRunner create(RunServices services) {
		return new RequestRunner(services);
	}

	/**
	 * Starts a run. Called on the executor that will run it.
	 * @param request the request
	 * @param sink takes the answer
	 * @param executor runs all steps
	 * @param respondAsync whether the caller wants to be answered as soon as the journal
	 * has accepted the request
	 * @return the run
	 */
	public RunHandle run(RunRequest request, AnswerSink sink, SerialExecutor executor, boolean respondAsync) {
		begin();
		this.services.retryBudget().earn();
		if (request.key() != null) {
			KeyedRun keyed = new KeyedRun(this.services, request, sink, executor, respondAsync && request.durable(),
					this::end);
			keyed.start();
			return keyed;
		}
		RequestRun run = new RequestRun(this.services, request, sink, executor, UnkeyedRecords.INSTANCE, this::end);
		run.start();
		return run::callerLeft;
	}

	/**
	 * Runs a durable request that a dead daemon had accepted and this one has claimed.
	 * @param request the request
	 * @param claim this daemon's claim
	 * @param executor runs all steps
	 */
	public void takeOver(RunRequest request, JournalClaim claim, SerialExecutor executor) {
		begin();
		ClaimRecords records = new ClaimRecords(this.services.journal(), claim, this.services.maximumAnswerBytes());
		DetachedSink sink = new DetachedSink(this.services.telemetry());
		RequestRun run = new RequestRun(this.services, request, sink, executor, records, this::end);
		executor.execute(run::start);
	}

	/**
	 * Returns the number of runs that are not over.
	 * @return the number
	 */
	public int inFlight() {
		return this.inFlight.get();
	}

	/**
	 * Waits until no run is left. New runs may still be started; the stage completes when
	 * the number is zero.
	 * @return completes when no run is left
	 */
	public CompletionStage<Void> whenDrained() {
		CompletableFuture<Void> waiting = new CompletableFuture<>();
		this.drained = waiting;
		if (this.inFlight.get() == 0) {
			waiting.complete(null);
		}
		return waiting;
	}

	private void begin() {
		this.inFlight.incrementAndGet();
	}

	private void end() {
		CompletableFuture<Void> waiting = this.drained;
		if (this.inFlight.decrementAndGet() == 0 && waiting != null) {
			waiting.complete(null);
		}
	}

}
