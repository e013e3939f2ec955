package org.sardineport.core.stop;

import java.util.Locale;

/**
 * Phase of a planned stop. A stop goes through the phases in this order and may skip
 * some; it never returns to an earlier one.
 */
public enum StopPhase {

	/** No stop was requested. */
	SERVING(true),

	/**
	 * The stop is being announced to the other daemons; callers that know the address are
	 * still served.
	 */
	LINGERING(true),

	/** New requests are refused; those in flight are completed. */
	DRAINING(false),

	/** No request is in flight any more; durable data is being written. */
	FLUSHING(false),

	/** The process may end. */
	ENDED(false);

	private final boolean acceptsRequests;

	StopPhase(boolean acceptsRequests) {
		this.acceptsRequests = acceptsRequests;
	}

	/**
	 * Returns whether new requests are accepted in this phase.
	 * @return whether new requests are accepted
	 */
	public boolean acceptsRequests() {
		return this.acceptsRequests;
	}

	/**
	 * Returns the name in metrics and logs.
	 * @return the name in lower case
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
