package org.sardineport.core.journal;

import java.time.Instant;
import java.util.concurrent.CompletionStage;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.request.Outcome;
import org.sardineport.core.request.Refusal;

/**
 * The journal as the handler of a caller's request sees it. All methods return at once
 * and may be called from any thread. Stages never fail: what goes wrong is a decision.
 */
public interface RequestJournal {

	/**
	 * Records that this daemon holds a request.
	 * @param request the request
	 * @return the decision, at the latest at the request's deadline
	 */
	CompletionStage<AcceptDecision> accept(KeyedRequest request);

	/**
	 * Records that a request is about to be dispatched. The caller holds a permit.
	 * @param claim claim of the request
	 * @param backendServer where it will be dispatched
	 * @param streamId identity of the stream by which the engine can resume it
	 * @param deadline until when the answer is waited for
	 * @return the decision, at the latest at the deadline
	 */
	CompletionStage<DispatchDecision> dispatch(JournalClaim claim, BackendServerId backendServer, String streamId,
			Instant deadline);

	/**
	 * Records that a request will never run under this claim. Allowed only before
	 * {@link #dispatch} was called, or after it won while nothing was sent.
	 * @param claim claim of the request
	 * @param refusal why, told to those who joined
	 * @return the state once the record is in the log, or the claim is known to be void:
	 * with {@link org.sardineport.core.request.Outcome#NOT_RUN} the request did not run
	 * and the caller may be told so; in any other state another daemon holds it or has
	 * ended it, and the caller gets the outcome of {@link #await}
	 */
	CompletionStage<KeyState> release(JournalClaim claim, Refusal refusal);

	/**
	 * Records the end of a dispatched request.
	 * @param claim claim of the request
	 * @param outcome what is known of its run
	 * @param answer the whole answer, if there is one within the limit
	 * @return completes when the record is in the log
	 */
	CompletionStage<Void> finish(JournalClaim claim, Outcome outcome, @Nullable StoredAnswer answer);

	/**
	 * Waits for the end of a request that another holds.
	 * @param key the key
	 * @param deadline until when to wait
	 * @return the state at its end, or at the deadline
	 */
	CompletionStage<KeyState> await(IdempotencyKey key, Instant deadline);

	/**
	 * Returns what is known of a key.
	 * @param organisation whose key it is
	 * @param key the caller's text
	 * @return the state
	 */
	CompletionStage<KeyState> lookup(OrganisationId organisation, String key);

	/**
	 * Returns whether the replay window has been read, so that keyed requests can be
	 * accepted.
	 * @return whether the journal is ready
	 */
	boolean isReady();

}
