package org.sardineport.daemon.exchange;

import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.journal.DispatchDecision;
import org.sardineport.core.journal.KeyPhase;
import org.sardineport.core.journal.KeyState;
import org.sardineport.core.journal.StoredResponse;
import org.sardineport.core.request.Outcome;
import org.sardineport.core.request.Refusal;

/**
 * Dispatch recorder of requests without a key: allows every dispatch and records nothing.
 */
final class NoOpDispatchRecorder implements DispatchRecorder {

	static final NoOpDispatchRecorder INSTANCE = new NoOpDispatchRecorder();

	private static final CompletionStage<DispatchDecision> WON = CompletableFuture
		.completedStage(new DispatchDecision.Won());

	private static final CompletionStage<KeyState> NOT_RUN = CompletableFuture
		.completedStage(new KeyState(KeyPhase.ABSENT, Outcome.NOT_RUN, null));

	private NoOpDispatchRecorder() {
	}

	@Override
	public CompletionStage<DispatchDecision> dispatch(BackendServerId backendServer, String streamId,
			Instant deadline) {
		return WON;
	}

	@Override
	public CompletionStage<KeyState> release(Refusal refusal) {
		return NOT_RUN;
	}

	@Override
	public void finish(Outcome outcome, @Nullable StoredResponse answer) {
		// requests without a key have no journal entry
	}

	@Override
	public int maxResponseBytes() {
		return 0;
	}

	@Override
	public boolean continuesAfterDisconnect() {
		return false;
	}

}
