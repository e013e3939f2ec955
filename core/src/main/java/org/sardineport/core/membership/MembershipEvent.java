package org.sardineport.core.membership;

import java.util.Locale;

/**
 * What happened to a member, for counters and logs.
 */
public enum MembershipEvent {

	/** A daemon was heard of for the first time or again after its death. */
	JOINED,

	/** A daemon did not answer. */
	SUSPECTED,

	/** A suspected daemon turned out to be alive. */
	CLEARED,

	/** A daemon announced a planned stop. */
	LEAVING,

	/** A daemon is taken to be dead, or said that it stopped. */
	DIED,

	/** This daemon heard itself suspected and denied it. */
	REFUTED,

	/** Another daemon uses this daemon's name. */
	NAME_IN_USE,

	/** Nobody answers this daemon, which now doubts itself and declares nobody dead. */
	ISOLATED,

	/** This daemon is answered again. */
	REJOINED;

	/**
	 * Returns the name in metrics and logs.
	 * @return the name in lower case with dashes
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
