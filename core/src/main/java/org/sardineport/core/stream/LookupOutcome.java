package org.sardineport.core.stream;

import java.util.Locale;

/**
 * How a lookup of a stream's origin ended, for counters.
 */
public enum LookupOutcome {

	/** The version is known to this daemon, and there is no other one to ask. */
	LOCAL,

	/** The version is known, confirmed by at least one daemon chosen for the key. */
	REPLICA,

	/** The daemons did not know the version, and what the platform stores proves it. */
	STORED,

	/** The daemons did not know the version, and what the platform stores does not. */
	NOT_STORED,

	/** All daemons asked answered that they know nothing. */
	UNKNOWN,

	/** Several versions are possible. */
	AMBIGUOUS,

	/** Some daemons asked did not answer in time, and no other one knew the stream. */
	TIMED_OUT,

	/** Too many lookups are pending; none was made. */
	OVERLOADED;

	/**
	 * Returns the name used in metrics.
	 * @return words in lower case, joined by dashes
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
