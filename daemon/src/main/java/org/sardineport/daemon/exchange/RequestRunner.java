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
 * Starts runs and counts those that are not over. Safe for use by any thread.
 */
public final class RequestRunner {

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private final RunServices services;

	private final InFlightLimit limit;

	private volatile @Nullable CompletableFuture<Void> drained;

	private RequestRunner(RunServices services, int maximumInFlight) {
		this.limit = InFlightLimit.of(maximumInFlight);
		this.services = Objects.requireNonNull(services, "services must not be null");
	}

	/**
	 * Returns a runner.
	 * @param services what runs use
	 * @param maximumInFlight most runs at once, as {@link InFlightLimit} counts them
	 * @return the runner
	 */
	public static RequestRunner create(RunServices services, int maximumInFlight) {
		return new RequestRunner(services, maximumInFlight);
	}

	/**
	 * Returns whether a request would be taken now.
	 * @param tier its tier
	 * @return whether there is room
	 */
	public boolean hasRoomFor(Tier tier) {
		return this.limit.hasRoomFor(tier);
	}

	/**
	 * Returns the refusal of a request for which there is no room.
	 * @return the refusal
	 */
	public static Refusal full() {
		return Refusal.retryAfter(RefusalReason.RING_FULL, "The daemon holds as many requests as it may.", RETRY_AFTER);
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
		Tier tier = request.scheduling().tier();
		if (!this.limit.tryEnter(tier)) {
			sink.refuse(full());
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
		RequestRun run = new RequestRun(this.services, request, sink, executor, UnkeyedRecords.INSTANCE,
				() -> end(tier));
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
		Tier tier = request.scheduling().tier();
		this.limit.enter(tier);
		ClaimRecords records = new ClaimRecords(this.services.journal(), claim, this.services.maximumAnswerBytes());
		DetachedSink sink = new DetachedSink(this.services.telemetry());
		RequestRun run = new RequestRun(this.services, request, sink, executor, records, () -> end(tier));
		executor.execute(run::start);
	}

	/**
	 * Returns the number of runs that are not over.
	 * @return the number
	 */
	public int inFlight() {
		return this.limit.inFlight();
	}

	/**
	 * Waits until no run is left. New runs may still be started; the stage completes when
	 * the number is zero.
	 * @return completes when no run is left
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
		this.limit.leave(tier);
		CompletableFuture<Void> waiting = this.drained;
		if (this.limit.inFlight() == 0 && waiting != null) {
			waiting.complete(null);
		}
	}

}
