package org.sardineport.daemon.exchange;

import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.journal.DispatchDecision;
import org.sardineport.core.journal.KeyPhase;
import org.sardineport.core.journal.KeyState;
import org.sardineport.core.journal.StoredAnswer;
import org.sardineport.core.request.Outcome;
import org.sardineport.core.request.Refusal;

/**
 * Records nothing: the request has no key.
 */
final class UnkeyedRecords implements DispatchRecords {

	static final UnkeyedRecords INSTANCE = new UnkeyedRecords();

	private static final CompletionStage<DispatchDecision> WON = CompletableFuture
		.completedStage(new DispatchDecision.Won());

	private static final CompletionStage<KeyState> NOT_RUN = CompletableFuture
		.completedStage(new KeyState(KeyPhase.ABSENT, Outcome.NOT_RUN, null));

	private UnkeyedRecords() {
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
	public void finish(Outcome outcome, @Nullable StoredAnswer answer) {
		// there is nothing to finish
	}

	@Override
	public int maximumAnswerBytes() {
		return 0;
	}

	@Override
	public boolean outlivesCaller() {
		return false;
	}

}
