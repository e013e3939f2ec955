package org.sardineport.core.publishing;

import java.util.Locale;

/**
 * Kinds of risky changes, which an operator has probably made by mistake.
 */
public enum RiskyChange {

	/** A route is no longer marked as non-idempotent. */
	NON_IDEMPOTENT_DROPPED("its requests may then run twice"),

	/** A route is no longer marked as durable. */
	DURABLE_DROPPED("its requests are then lost with the daemon that holds them"),

	/** A route has a less urgent tier than before. */
	TIER_LOWERED("its requests are then refused before others"),

	/** A route is removed. */
	ROUTE_REMOVED("its requests are then refused"),

	/** A deadline is reduced to a tenth or less. */
	DEADLINE_CUT("answers that come later are then worthless"),

	/** The rate limit of an organisation is reduced to a tenth or less. */
	LIMIT_CUT("most requests of the organisation are then refused"),

	/** The maximum body size is reduced to a tenth or less. */
	BODY_LIMIT_CUT("larger requests are then refused"),

	/** An organisation is removed. */
	ORGANISATION_REMOVED("its requests are then refused"),

	/** Callers of an organisation no longer need a token. */
	TOKEN_CHECK_DROPPED("anybody may then speak in its name"),

	/** None of the previous tokens is accepted any longer. */
	ALL_TOKENS_REPLACED("its callers are refused until all present a new token"),

	/** A profile is retired. */
	PROFILE_RETIRED("services that still pick it are then refused"),

	/** A route names a pool that has no known backend server. */
	POOL_UNKNOWN("its requests then find no backend server");

	private final String consequence;

	RiskyChange(String consequence) {
		this.consequence = consequence;
	}

	/**
	 * Returns the consequence of the change, for display after its description.
	 * @return a clause without capital letter and full stop
	 */
	public String consequence() {
		return this.consequence;
	}

	/**
	 * Returns the stable name for scripts.
	 * @return the lower-case name with dashes
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
