package org.sardineport.core.journal;

import org.sardineport.core.request.Refusal;

/**
 * What was found in the headers that carry a request's key.
 */
public sealed interface KeyReading {

	/**
	 * The key is good.
	 *
	 * @param key the key
	 */
	record Valid(IdempotencyKey key) implements KeyReading {
	}

	/**
	 * The request is refused.
	 *
	 * @param refusal why
	 */
	record Refused(Refusal refusal) implements KeyReading {
	}

}
