package org.sardineport.daemon.exchange;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

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
import org.sardineport.core.journal.StoredResponse;
import org.sardineport.core.request.Fingerprint;
import org.sardineport.core.request.Outcome;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;

/**
 * In-memory journal that decides immediately unless a decision is set or held.
 */
public final class FakeJournal implements RequestJournal {

	private final Map<String, Entry> entries = new HashMap<>();

	private DispatchDecision nextDispatch = new DispatchDecision.Won();

	private CompletableFuture<DispatchDecision> heldDispatch;

	private int claims;

	/** Sets the decision on all later dispatches. */
	public synchronized void decideDispatch(DispatchDecision decision) {
		this.nextDispatch = decision;
	}

	/** Holds all dispatch decisions until the returned future is completed. */
	public synchronized CompletableFuture<DispatchDecision> holdDispatch() {
		this.heldDispatch = new CompletableFuture<>();
		return this.heldDispatch;
	}

	@Override
	public synchronized CompletionStage<AcceptDecision> accept(KeyedRequest request) {
		Entry entry = this.entries.get(name(request.key()));
		if (entry == null) {
			entry = new Entry(request.fingerprint());
			this.entries.put(name(request.key()), entry);
			this.claims++;
			return CompletableFuture
				.completedStage(new AcceptDecision.Accepted(new JournalClaim(request.key(), "t" + this.claims)));
		}
		if (!entry.fingerprint.equals(request.fingerprint())) {
			return CompletableFuture.completedStage(new AcceptDecision.Refused(
					Refusal.of(RefusalReason.KEY_REUSED, "The key was used with another body.")));
		}
		if (entry.state.phase() == KeyPhase.FINISHED) {
			return CompletableFuture.completedStage(new AcceptDecision.Finished(entry.state));
		}
		return CompletableFuture.completedStage(new AcceptDecision.Joined(request.key()));
	}

	@Override
	public synchronized CompletionStage<DispatchDecision> dispatch(JournalClaim claim, BackendServerId backendServer,
			String streamId, Instant deadline) {
		if (this.heldDispatch != null) {
			return this.heldDispatch;
		}
		if (this.nextDispatch instanceof DispatchDecision.Won) {
			entry(claim).state = new KeyState(KeyPhase.DISPATCHED, null, null);
		}
		return CompletableFuture.completedStage(this.nextDispatch);
	}

	@Override
	public synchronized CompletionStage<KeyState> release(JournalClaim claim, Refusal refusal) {
		Entry released = this.entries.remove(name(claim.key()));
		KeyState state = new KeyState(KeyPhase.ABSENT, Outcome.NOT_RUN, null);
		released.ended.complete(state);
		return CompletableFuture.completedStage(state);
	}

	@Override
	public synchronized CompletionStage<Void> finish(JournalClaim claim, Outcome outcome, StoredResponse answer) {
		Entry finished = entry(claim);
		finished.state = new KeyState(KeyPhase.FINISHED, outcome, answer);
		finished.ended.complete(finished.state);
		return CompletableFuture.completedStage(null);
	}

	@Override
	public synchronized CompletionStage<KeyState> await(IdempotencyKey key, Instant deadline) {
		return this.entries.get(name(key)).ended;
	}

	@Override
	public synchronized CompletionStage<KeyState> lookup(OrganisationId organisation, String key) {
		Entry entry = this.entries.get(organisation + "/" + key);
		return CompletableFuture
			.completedStage((entry != null) ? entry.state : new KeyState(KeyPhase.ABSENT, null, null));
	}

	@Override
	public boolean isReady() {
		return true;
	}

	private Entry entry(JournalClaim claim) {
		return this.entries.get(name(claim.key()));
	}

	private static String name(IdempotencyKey key) {
		return key.organisation() + "/" + key.value();
	}

	/**
	 * State of one key.
	 */
	private static final class Entry {

		private final Fingerprint fingerprint;

		private final CompletableFuture<KeyState> ended = new CompletableFuture<>();

		private KeyState state = new KeyState(KeyPhase.ACCEPTED, null, null);

		private Entry(Fingerprint fingerprint) {
			this.fingerprint = fingerprint;
		}

	}

}
