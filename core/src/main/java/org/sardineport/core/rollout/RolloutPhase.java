package org.sardineport.core.rollout;

import java.util.Locale;

/**
 * Phase of a rollout. Requests are unbound, or bound to one version: as a sample of the
 * traffic, or because they continue a stream of that version.
 */
public enum RolloutPhase {

	/** A share of the requests is bound to the target; all others run elsewhere. */
	CANARY,

	/** All new work goes to the target; what runs elsewhere ends there. */
	FULL,

	/** The other versions stop. Final. */
	COMPLETE,

	/** The target gets nothing any more. Final. */
	ROLLED_BACK;

	/**
	 * Returns whether a version takes unbound requests.
	 * @param isTarget whether it is the version that is brought in
	 * @return whether it does
	 */
	public boolean takesUnbound(boolean isTarget) {
		return (this == FULL || this == COMPLETE) == isTarget;
	}

	/**
	 * Returns whether a version takes requests that are bound to it.
	 * @param isTarget whether it is the version that is brought in
	 * @return whether it does
	 */
	public boolean takesBound(boolean isTarget) {
		return !isFinal() || takesUnbound(isTarget);
	}

	/**
	 * Returns whether the rollout is over.
	 * @return {@code true} if no other phase follows
	 */
	public boolean isFinal() {
		return this == COMPLETE || this == ROLLED_BACK;
	}

	/**
	 * Returns the name in logs.
	 * @return the name in lower case with dashes
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
