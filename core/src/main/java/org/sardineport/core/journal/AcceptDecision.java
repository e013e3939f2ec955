package org.sardineport.core.journal;

import org.sardineport.core.request.Refusal;

/**
 * Decision of the journal on an incoming keyed request.
 */
public sealed interface AcceptDecision {

	/**
	 * The request is new and this daemon holds its claim.
	 *
	 * @param claim claim under which to dispatch, release or finish the request
	 */
	record Accepted(JournalClaim claim) implements AcceptDecision {
	}

	/**
	 * The same request is already accepted or running: the caller waits for its
	 * completion with {@link RequestJournal#await}.
	 *
	 * @param key the key
	 */
	record Joined(IdempotencyKey key) implements AcceptDecision {
	}

	/**
	 * The same request has already ended.
	 *
	 * @param state outcome and answer of the request
	 */
	record Finished(KeyState state) implements AcceptDecision {
	}

	/**
	 * The request is refused.
	 *
	 * @param refusal reason and remedy for the caller
	 */
	record Refused(Refusal refusal) implements AcceptDecision {
	}

}
