package org.sardineport.core.request;

import java.util.Locale;

/**
 * Urgency of a request, the same in all profiles, so that requests of different profiles
 * can be ordered on the backend servers they share. Declared from most to least urgent.
 */
public enum Tier {

	/** Answers that a person waits for in a conversation; never shed for lower tiers. */
	URGENT,

	/** Answers that a person waits for at a screen. */
	INTERACTIVE,

	/** Ordinary requests. */
	STANDARD,

	/** Long work whose callers wait for minutes. */
	BATCH;

	/**
	 * Returns whether this is the top tier.
	 * @return whether no tier is more urgent
	 */
	public boolean isTop() {
		return this == URGENT;
	}

	/**
	 * Returns whether this tier goes before another.
	 * @param other the other tier
	 * @return whether this tier is strictly more urgent
	 */
	public boolean isMoreUrgentThan(Tier other) {
		return ordinal() < other.ordinal();
	}

	/**
	 * Returns the lower-case name, as in settings, metrics and logs.
	 * @return the label
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
