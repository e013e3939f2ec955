package org.sardineport.daemon.exchange;

import java.time.Duration;
import java.util.concurrent.CompletionStage;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.journal.KeyState;
import org.sardineport.core.request.Outcome;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;

/**
 * Ends a request that this daemon did not send. The caller of a durable one is told
 * {@code not-run} only once the journal has it that nobody will run it: until then
 * another daemon may take it over. Touched on the run's executor only.
 */
final class UnsentEnd {

	/** Time within which the journal must have settled it. */
	private static final Duration SETTLE_TIMEOUT = Duration.ofSeconds(2);

	private final RunServices services;

	private final RunRequest request;

	private final AnswerSink sink;

	private final SerialExecutor executor;

	private final Runnable whenEnded;

	private boolean told;

	UnsentEnd(RunServices services, RunRequest request, AnswerSink sink, SerialExecutor executor, Runnable whenEnded) {
		this.services = services;
		this.request = request;
		this.sink = sink;
		this.executor = executor;
		this.whenEnded = whenEnded;
	}

	/**
	 * Tells the caller what became of the request. Only durable requests wait for the
	 * journal: nobody else dispatches under the claim of another.
	 * @param refusal what to tell if it did not run
	 * @param released what the journal has of it
	 */
	void tell(Refusal refusal, CompletionStage<KeyState> released) {
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

	private void onReleased(Refusal refusal, @Nullable KeyState state) {
		if (this.told) {
			return;
		}
		this.told = true;
		if (state != null && state.outcome() == Outcome.NOT_RUN) {
			this.sink.refuse(refusal);
			this.whenEnded.run();
		}
		else {
			JoinedAnswer.follow(this.services, this.request, this.sink, this.executor, this.whenEnded);
		}
	}

	private void onTimeout() {
		if (!this.told) {
			this.told = true;
			this.sink.refuse(Refusal.retryAfter(RefusalReason.JOURNAL_UNSETTLED,
					"The journal did not settle in time that the request will not run.", SETTLE_TIMEOUT));
			this.whenEnded.run();
		}
	}

}
