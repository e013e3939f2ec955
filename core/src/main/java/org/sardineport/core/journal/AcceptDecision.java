package org.sardineport.core.journal;

import org.sardineport.core.request.Refusal;

/**
 * What the journal says to a keyed request that came in.
 */
public sealed interface AcceptDecision {

	/**
	 * The request is new and this daemon holds it.
	 *
	 * @param claim the claim to dispatch, release or finish it with
	 */
	record Accepted(JournalClaim claim) implements AcceptDecision {
	}

	/**
	 * The same request is already accepted or running: the caller waits for its end with
	 * {@link RequestJournal#await}.
	 *
	 * @param key the key
	 */
	record Joined(IdempotencyKey key) implements AcceptDecision {
	}

	/**
	 * The same request has ended.
	 *
	 * @param state its outcome and answer
	 */
	record Finished(KeyState state) implements AcceptDecision {
	}

	/**
	 * The request is refused.
	 *
	 * @param refusal why
	 */
	record Refused(Refusal refusal) implements AcceptDecision {
	}

}
