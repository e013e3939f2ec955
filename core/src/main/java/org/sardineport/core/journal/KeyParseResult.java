package org.sardineport.core.journal;

import org.sardineport.core.request.Refusal;

/**
 * Result of reading the idempotency key from request headers.
 */
public sealed interface KeyParseResult {

	/**
	 * The key is well-formed and within the replay window.
	 *
	 * @param key the key
	 */
	record Valid(IdempotencyKey key) implements KeyParseResult {
	}

	/**
	 * The request is refused.
	 *
	 * @param refusal reason and remedy for the caller
	 */
	record Refused(Refusal refusal) implements KeyParseResult {
	}

}
