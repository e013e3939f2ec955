package org.sardineport.daemon.exchange;

import java.time.Instant;
import java.util.concurrent.CompletionStage;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.journal.DispatchDecision;
import org.sardineport.core.journal.JournalClaim;
import org.sardineport.core.journal.KeyState;
import org.sardineport.core.journal.RequestJournal;
import org.sardineport.core.journal.StoredAnswer;
import org.sardineport.core.request.Outcome;
import org.sardineport.core.request.Refusal;

/**
 * Records the dispatch of a keyed request under its claim.
 */
final class ClaimRecords implements DispatchRecords {

	private final RequestJournal journal;

	private final JournalClaim claim;

	private final int maximumAnswerBytes;

	ClaimRecords(RequestJournal journal, JournalClaim claim, int maximumAnswerBytes) {
		this.journal = journal;
		this.claim = claim;
		this.maximumAnswerBytes = maximumAnswerBytes;
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
	public void finish(Outcome outcome, @Nullable StoredAnswer answer) {
		this.journal.finish(this.claim, outcome, answer);
	}

	@Override
	public int maximumAnswerBytes() {
		return this.maximumAnswerBytes;
	}

	@Override
	public boolean outlivesCaller() {
		return true;
	}

}
