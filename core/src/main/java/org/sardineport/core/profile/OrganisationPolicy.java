package org.sardineport.core.profile;

import java.util.List;
import java.util.Objects;

import org.sardineport.core.identity.OrganisationId;

/**
 * What a profile grants one organisation.
 *
 * @param organisation its name
 * @param tokensPerSecond fleet-wide limit in estimated tokens a second; 0 for none
 * @param tokenHashes SHA-256 hashes, in lower-case hexadecimal, of the bearer tokens of
 * which a caller must present one; empty if none is asked for
 */
public record OrganisationPolicy(OrganisationId organisation, long tokensPerSecond, List<String> tokenHashes) {

	/**
	 * Creates the policy.
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
