package org.sardineport.core.request;

import java.util.Locale;

/**
 * Urgency of a request. Tiers have the same meaning in all profiles, so that requests of
 * different profiles can be ordered on shared backend servers. Declared from most to
 * least urgent.
 */
public enum Tier {

	/** A person waits for the response in a conversation; never shed for lower tiers. */
	URGENT,

	/** A person waits for the response at a screen. */
	INTERACTIVE,

	/** Requests without special latency needs. */
	STANDARD,

	/** Long-running work whose callers wait for minutes. */
	BATCH;

	/**
	 * Returns whether this is the top tier, which may preempt others.
	 * @return {@code true} if no tier is more urgent
	 */
	public boolean isTop() {
		return this == URGENT;
	}

	/**
	 * Returns whether this tier takes precedence over another.
	 * @param other the other tier
	 * @return {@code true} if this tier is strictly more urgent
	 */
	public boolean isMoreUrgentThan(Tier other) {
		return ordinal() < other.ordinal();
	}

	/**
	 * Returns the name used in settings, metrics and logs.
	 * @return the name in lower case
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
