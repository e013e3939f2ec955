package org.sardineport.daemon.exchange;

import java.time.Instant;
import java.util.concurrent.CompletionStage;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.journal.DispatchDecision;
import org.sardineport.core.journal.JournalClaim;
import org.sardineport.core.journal.KeyState;
import org.sardineport.core.journal.RequestJournal;
import org.sardineport.core.journal.StoredResponse;
import org.sardineport.core.request.Outcome;
import org.sardineport.core.request.Refusal;

/**
 * Records the dispatch of a keyed request in the journal, under the claim that this
 * daemon holds for it.
 */
final class ClaimDispatchRecorder implements DispatchRecorder {

	private final RequestJournal journal;

	private final JournalClaim claim;

	private final int maxResponseBytes;

	ClaimDispatchRecorder(RequestJournal journal, JournalClaim claim, int maxResponseBytes) {
		this.journal = journal;
		this.claim = claim;
		this.maxResponseBytes = maxResponseBytes;
	}

	@Override
	public CompletionStage<DispatchDecision> dispatch(BackendServerId backendServer, String streamId,
			Instant deadline) {
		return this.journal.dispatch(this.claim, backendServer, streamId, deadline);
	}

	@Override
	public CompletionStage<KeyState> release(Refusal refusal) {
		return this.journal.release(this.claim, refusal);
	}

	@Override
	public void finish(Outcome outcome, @Nullable StoredResponse answer) {
		this.journal.finish(this.claim, outcome, answer);
	}

	@Override
	public int maxResponseBytes() {
		return this.maxResponseBytes;
	}

	@Override
	public boolean continuesAfterDisconnect() {
		return true;
	}

}
