package org.sardineport.core.journal;

import org.sardineport.core.request.Refusal;

/**
 * Whether a claimed request may be dispatched.
 */
public sealed interface DispatchDecision {

	/**
	 * This daemon's DISPATCHED record is the first: it may dispatch, once.
	 */
	record Won() implements DispatchDecision {
	}

	/**
	 * Another daemon dispatches it: the caller waits for its end with
	 * {@link RequestJournal#await}.
	 */
	record Lost() implements DispatchDecision {
	}

	/**
	 * It could not be settled in time; the request must not be dispatched.
	 *
	 * @param refusal what to tell the caller
	 */
	record Refused(Refusal refusal) implements DispatchDecision {
	}

}
