package org.sardineport.core.profile;

import java.util.List;

/**
 * Bearer tokens that a profile accepts from the callers of an organisation, and whether
 * they need one at all. An empty list of accepted tokens refuses every caller. Immutable.
 *
 * @param areRequired whether callers need a token
 * @param hashes the SHA-256 hashes of the tokens, in lower-case hexadecimal
 */
public record AcceptedTokens(boolean areRequired, List<String> hashes) {

	private static final AcceptedTokens NOT_REQUIRED = new AcceptedTokens(false, List.of());

	/**
	 * Creates the tokens with a copy of the hashes.
	 * @throws IllegalArgumentException if there are hashes although no token is required
	 */
	public AcceptedTokens {
		hashes = List.copyOf(hashes);
		if (!areRequired && !hashes.isEmpty()) {
			throw new IllegalArgumentException("hashes must be empty if no token is required");
		}
	}

	/**
	 * Returns the tokens of an organisation whose callers need none.
	 * @return no token, and none is required
	 */
	public static AcceptedTokens notRequired() {
		return NOT_REQUIRED;
	}

	/**
	 * Returns the tokens of an organisation whose callers need one of them.
	 * @param hashes the SHA-256 hashes of the tokens, in lower-case hexadecimal; may be
	 * empty
	 * @return the tokens
	 */
	public static AcceptedTokens required(List<String> hashes) {
		return new AcceptedTokens(true, hashes);
	}

}
