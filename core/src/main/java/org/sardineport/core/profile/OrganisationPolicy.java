package org.sardineport.core.profile;

import java.util.Objects;

import org.sardineport.core.identity.OrganisationId;

/**
 * Rate limit and bearer tokens of one organisation in a profile.
 *
 * @param organisation the organisation
 * @param tokensPerSecond fleet-wide limit in estimated tokens per second; 0 for no limit
 * @param tokens the bearer tokens that callers may present
 */
public record OrganisationPolicy(OrganisationId organisation, long tokensPerSecond, AcceptedTokens tokens) {

	/**
	 * Creates the policy; rejects missing components.
	 * @throws IllegalArgumentException if the limit is negative
	 */
	public OrganisationPolicy {
		Objects.requireNonNull(organisation, "organisation must not be null");
		Objects.requireNonNull(tokens, "tokens must not be null");
		if (tokensPerSecond < 0) {
			throw new IllegalArgumentException("tokensPerSecond must not be negative, found " + tokensPerSecond);
		}
	}

}
