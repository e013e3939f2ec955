package org.sardineport.core.stop;

import java.util.Locale;

/**
 * How far a daemon is with its planned stop. Phases follow one another and never go back.
 */
public enum StopPhase {

	/** No stop was asked for. */
	SERVING(true),

	/** The other daemons are told; callers that hold the address are served. */
	LINGERING(true),

	/** New requests are refused; those in flight go on to their end. */
	DRAINING(false),

	/** Nothing is in flight; what must last is written. */
	FLUSHING(false),

	/** The process may end. */
	ENDED(false);

	private final boolean acceptsRequests;

	StopPhase(boolean acceptsRequests) {
		this.acceptsRequests = acceptsRequests;
	}

	/**
	 * Returns whether new requests are taken.
	 * @return whether they are taken
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
