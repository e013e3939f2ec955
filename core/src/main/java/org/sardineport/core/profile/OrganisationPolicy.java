package org.sardineport.core.profile;

import java.util.List;
import java.util.Objects;

import org.sardineport.core.identity.OrganisationId;

/**
 * Rate limit and bearer tokens of one organisation in a profile.
 *
 * @param organisation the organisation
 * @param tokensPerSecond fleet-wide limit in estimated tokens per second; 0 for no limit
 * @param tokenHashes SHA-256 hashes, in lower-case hexadecimal, of the accepted bearer
 * tokens; empty if callers need no token
 */
public record OrganisationPolicy(OrganisationId organisation, long tokensPerSecond, List<String> tokenHashes) {

	/**
	 * Creates the policy with a copy of the token hashes.
	 * @throws IllegalArgumentException if the limit is negative
	 */
	public OrganisationPolicy {
		Objects.requireNonNull(organisation, "organisation must not be null");
		tokenHashes = List.copyOf(tokenHashes);
		if (tokensPerSecond < 0) {
			throw new IllegalArgumentException("tokensPerSecond must not be negative, found " + tokensPerSecond);
		}
	}

}
