package org.sardineport.daemon.exchange;

import java.time.Duration;
import java.util.concurrent.CompletionStage;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.journal.DispatchDecision;
import org.sardineport.core.journal.KeyState;
import org.sardineport.core.request.Outcome;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;

/**
 * Completes a request that this daemon did not send. The caller of a durable request
 * receives {@code not-run} only after the journal has recorded that no daemon will run
 * it; until then another daemon may take it over. Used on the run's executor only.
 */
final class UnsentRequestCompletion {

	/** Maximum time to wait for the journal to record the release. */
	private static final Duration SETTLE_TIMEOUT = Duration.ofSeconds(2);

	private final RunServices services;

	private final RunRequest request;

	private final ResponseSink sink;

	private final SerialExecutor executor;

	private final Runnable whenEnded;

	private boolean responded;

	UnsentRequestCompletion(RunServices services, RunRequest request, ResponseSink sink, SerialExecutor executor,
			Runnable whenEnded) {
		this.services = services;
		this.request = request;
		this.sink = sink;
		this.executor = executor;
		this.whenEnded = whenEnded;
	}

	/**
	 * Responds to the caller. Only durable requests wait for the journal: no other daemon
	 * can dispatch a non-durable request under this daemon's claim.
	 * @param refusal the refusal to send if the request did not run
	 * @param released the state of the request once its release is in the journal
	 */
	void complete(Refusal refusal, CompletionStage<KeyState> released) {
		if (!this.request.durable()) {
			this.sink.refuse(refusal);
			this.whenEnded.run();
			return;
		}
		Runnable cancelTimeout = this.executor.schedule(SETTLE_TIMEOUT, this::onTimeout);
		released.whenComplete((state, failure) -> this.executor.execute(() -> {
			cancelTimeout.run();
			onReleased(refusal, state);
		}));
	}

	/**
	 * Responds to the caller after the journal did not allow the dispatch. If another run
	 * holds the key, its response is delivered when it has finished.
	 * @param decision a decision against the dispatch, or {@code null} if the journal
	 * failed
	 * @param failure the failure of the journal, or {@code null} if it decided
	 */
	void completeUndispatched(@Nullable DispatchDecision decision, @Nullable Throwable failure) {
		if (decision instanceof DispatchDecision.Lost) {
			JoinedResponse.deliverWhenFinished(this.services, this.request, this.sink, this.executor, this.whenEnded);
			return;
		}
		Refusal refusal = (decision instanceof DispatchDecision.Refused refused) ? refused.refusal()
				: Refusal.of(RefusalReason.JOURNAL_UNSETTLED, "The journal failed: " + failure);
		this.sink.refuse(refusal);
		this.whenEnded.run();
	}

	private void onReleased(Refusal refusal, @Nullable KeyState state) {
		if (this.responded) {
			return;
		}
		this.responded = true;
		if (state != null && state.outcome() == Outcome.NOT_RUN) {
			this.sink.refuse(refusal);
			this.whenEnded.run();
		}
		else {
			JoinedResponse.deliverWhenFinished(this.services, this.request, this.sink, this.executor, this.whenEnded);
		}
	}

	private void onTimeout() {
		if (!this.responded) {
			this.responded = true;
			this.sink.refuse(Refusal.retryAfter(RefusalReason.JOURNAL_UNSETTLED,
					"The journal did not settle in time that the request will not run.", SETTLE_TIMEOUT));
			this.whenEnded.run();
		}
	}

}
