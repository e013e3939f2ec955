package org.sardineport.core.publishing;

import java.util.Locale;

/**
 * Kinds of changes that an operator probably did not mean.
 */
public enum Slip {

	/** A route is no longer marked as non-idempotent. */
	NON_IDEMPOTENT_DROPPED("its requests may then run twice"),

	/** A route is no longer marked as durable. */
	DURABLE_DROPPED("its requests are then lost with the daemon that holds them"),

	/** A route is less urgent than before. */
	TIER_LOWERED("its requests are then refused before others"),

	/** A route is gone. */
	ROUTE_REMOVED("its requests are then refused"),

	/** A deadline is a tenth or less of what it was. */
	DEADLINE_CUT("answers that come later are then worthless"),

	/** A limit is a tenth or less of what it was. */
	LIMIT_CUT("most requests of the organisation are then refused"),

	/** The largest body is a tenth or less of what it was. */
	BODY_LIMIT_CUT("larger requests are then refused"),

	/** An organisation is gone. */
	ORGANISATION_REMOVED("its requests are then refused"),

	/** No token is asked for any more. */
	TOKEN_CHECK_DROPPED("anybody may then speak in its name"),

	/** None of the former tokens is accepted any more. */
	ALL_TOKENS_REPLACED("its callers are refused until all present a new token"),

	/** A profile is retired. */
	PROFILE_RETIRED("services that still pick it are then refused"),

	/** No backend server of a pool is known. */
	POOL_UNKNOWN("its requests then find no backend server");

	private final String consequence;

	Slip(String consequence) {
		this.consequence = consequence;
	}

	/**
	 * Returns what follows from such a change.
	 * @return half a sentence
	 */
	public String consequence() {
		return this.consequence;
	}

	/**
	 * Returns the name for scripts.
	 * @return the label
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
