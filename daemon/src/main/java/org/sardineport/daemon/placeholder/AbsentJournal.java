package org.sardineport.daemon.placeholder;

import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.journal.AcceptDecision;
import org.sardineport.core.journal.DispatchDecision;
import org.sardineport.core.journal.IdempotencyKey;
import org.sardineport.core.journal.JournalClaim;
import org.sardineport.core.journal.KeyPhase;
import org.sardineport.core.journal.KeyState;
import org.sardineport.core.journal.KeyedRequest;
import org.sardineport.core.journal.RequestJournal;
import org.sardineport.core.journal.StoredAnswer;
import org.sardineport.core.request.Outcome;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;

/**
 * A journal that refuses all keyed requests.
 */
public final class AbsentJournal implements RequestJournal {

	private static final Refusal REFUSAL = Refusal.of(RefusalReason.JOURNAL_UNAVAILABLE, "There is no journal.");

	private AbsentJournal() {
	}

	/**
	 * Returns the journal.
	 * @return the journal
	 */
	public static AbsentJournal create() {
		return new AbsentJournal();
	}

	@Override
	public CompletionStage<AcceptDecision> accept(KeyedRequest request) {
		return CompletableFuture.completedStage(new AcceptDecision.Refused(REFUSAL));
	}

	@Override
	public CompletionStage<DispatchDecision> dispatch(JournalClaim claim, BackendServerId backendServer,
			String streamId, Instant deadline) {
		return CompletableFuture.completedStage(new DispatchDecision.Refused(REFUSAL));
	}

	@Override
	public CompletionStage<Void> release(JournalClaim claim, Refusal refusal) {
		return CompletableFuture.completedStage(null);
	}

	@Override
	public CompletionStage<Void> finish(JournalClaim claim, Outcome outcome, @Nullable StoredAnswer answer) {
		return CompletableFuture.completedStage(null);
	}

	@Override
	public CompletionStage<KeyState> await(IdempotencyKey key, Instant deadline) {
		return CompletableFuture.completedStage(new KeyState(KeyPhase.ABSENT, null, null));
	}

	@Override
	public CompletionStage<KeyState> lookup(OrganisationId organisation, String key) {
		return CompletableFuture.completedStage(new KeyState(KeyPhase.ABSENT, null, null));
	}

	@Override
	public boolean isReady() {
		return false;
	}

}
