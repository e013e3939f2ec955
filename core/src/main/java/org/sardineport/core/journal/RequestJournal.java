package org.sardineport.core.journal;

import java.time.Instant;
import java.util.concurrent.CompletionStage;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.request.Outcome;
import org.sardineport.core.request.Refusal;

/**
 * Interface of the journal for request handlers. Methods do not block and are
 * thread-safe. Completion stages never complete exceptionally: failures are reported as
 * decisions.
 */
public interface RequestJournal {

	/**
	 * Records a claim of this daemon on a request.
	 * @param request the request
	 * @return the decision, at the latest at the request's deadline
	 */
	CompletionStage<AcceptDecision> accept(KeyedRequest request);

	/**
	 * Records that a request is about to be dispatched. The calling handler holds a
	 * permit.
	 * @param claim claim of the request
	 * @param backendServer the backend server it will be sent to
	 * @param streamId identifier of the stream, by which the engine can resume it
	 * @param deadline time by which the decision is needed
	 * @return the decision, at the latest at the deadline
	 */
	CompletionStage<DispatchDecision> dispatch(JournalClaim claim, BackendServerId backendServer, String streamId,
			Instant deadline);

	/**
	 * Records that a request will never run under this claim. Allowed only before
	 * {@link #dispatch} is called, or after it was won while nothing has been sent.
	 * @param claim claim of the request
	 * @param refusal reason, reported to callers that joined the request
	 * @return the state once the record is in the log or the claim is known to be void.
	 * With {@link org.sardineport.core.request.Outcome#NOT_RUN} the request did not run,
	 * which may be reported to the caller. In any other state another daemon holds the
	 * request or has ended it, and the caller gets the outcome of {@link #await}
	 */
	CompletionStage<KeyState> release(JournalClaim claim, Refusal refusal);

	/**
	 * Records the end of a dispatched request.
	 * @param claim claim of the request
	 * @param outcome outcome of the run
	 * @param answer the complete answer, or {@code null} if there is none within the
	 * limit
	 * @return a stage that completes when the record is in the log
	 */
	CompletionStage<Void> finish(JournalClaim claim, Outcome outcome, @Nullable StoredResponse answer);

	/**
	 * Waits for the end of a request under another claim.
	 * @param key the key
	 * @param deadline time at which waiting ends
	 * @return the state at the end of the request, or at the deadline if that is earlier
	 */
	CompletionStage<KeyState> await(IdempotencyKey key, Instant deadline);

	/**
	 * Returns the current state of a key.
	 * @param organisation organisation to which the key belongs
	 * @param key text of the key as sent by the caller
	 * @return the state, with the stored answer if there is one
	 */
	CompletionStage<KeyState> lookup(OrganisationId organisation, String key);

	/**
	 * Returns whether the replay window was read to its end, so that keyed requests can
	 * be accepted.
	 * @return whether the journal is ready
	 */
	boolean isReady();

}
