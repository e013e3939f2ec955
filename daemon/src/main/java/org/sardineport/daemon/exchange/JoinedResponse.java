package org.sardineport.daemon.exchange;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;

import org.sardineport.core.journal.KeyPhase;
import org.sardineport.core.journal.KeyState;
import org.sardineport.core.journal.StoredResponse;
import org.sardineport.core.request.Outcome;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;

/**
 * Delivers to a caller the response of a keyed request whose key another run holds or has
 * finished.
 */
public final class JoinedResponse {

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private JoinedResponse() {
	}

	static void deliverWhenFinished(RunServices services, RunRequest request, ResponseSink sink,
			SerialExecutor executor, Runnable whenEnded) {
		services.journal()
			.await(request.key(), request.scheduling().deadline())
			.whenComplete((state, failure) -> executor.execute(() -> {
				deliver(state, sink);
				whenEnded.run();
			}));
	}

	/**
	 * Delivers the stored response of a finished request. Without one, refuses the
	 * request with a reason that reflects the state of the key.
	 * @param state the state of the key
	 * @param sink receives the response or the refusal
	 */
	public static void deliver(KeyState state, ResponseSink sink) {
		StoredResponse answer = state.response();
		if (state.phase() == KeyPhase.FINISHED && answer != null) {
			sink.head(answer.status(), List.copyOf(answer.headers().entrySet()));
			sink.chunk(ByteBuffer.wrap(answer.body()));
			sink.end();
			return;
		}
		sink.refuse(refusal(state));
	}

	private static Refusal refusal(KeyState state) {
		if (state.phase() == KeyPhase.ABSENT || state.outcome() == Outcome.NOT_RUN) {
			return Refusal.retryAfter(RefusalReason.JOURNAL_UNAVAILABLE,
					"The request that this one joined did not run.", RETRY_AFTER);
		}
		if (state.outcome() == Outcome.COMPLETED) {
			return Refusal.of(RefusalReason.ANSWER_NOT_KEPT, "The request ran to its end; its answer was not kept.");
		}
		if (state.phase() == KeyPhase.FINISHED) {
			return Refusal.of(RefusalReason.BACKEND_FAILED, "The request was dispatched and its end is not known.");
		}
		return Refusal.retryAfter(RefusalReason.JOURNAL_UNSETTLED, "The request had not ended at the deadline.",
				RETRY_AFTER);
	}

}
