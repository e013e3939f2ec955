package org.sardineport.core.journal;

import org.sardineport.core.request.Refusal;

/**
 * Decision on whether a claimed request may be dispatched.
 */
public sealed interface DispatchDecision {

	/**
	 * The claim holds the key and its DISPATCHED record was read back: the request may be
	 * sent once.
	 */
	record Won() implements DispatchDecision {
	}

	/**
	 * The claim no longer holds the key, because another daemon holds the request or has
	 * ended it. The caller waits for its end with {@link RequestJournal#await}.
	 */
	record Lost() implements DispatchDecision {
	}

	/**
	 * The decision was not reached in time; the request must not be dispatched.
	 *
	 * @param refusal response to the caller
	 */
	record Refused(Refusal refusal) implements DispatchDecision {
	}

}
