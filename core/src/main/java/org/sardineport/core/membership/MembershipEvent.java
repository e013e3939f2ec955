package org.sardineport.core.membership;

import java.util.Locale;

/**
 * Change in the state of a member, as counted and logged.
 */
public enum MembershipEvent {

	/** A daemon became known for the first time or again after its death. */
	JOINED,

	/** A daemon did not respond to a probe. */
	SUSPECTED,

	/** A suspected daemon turned out to be alive. */
	CLEARED,

	/** A daemon announced a planned stop. */
	LEAVING,

	/** A daemon was declared dead or announced that it has stopped. */
	DIED,

	/** This daemon received a wrong update about itself and refuted it. */
	REFUTED,

	/** Another daemon uses this daemon's name. */
	NAME_IN_USE,

	/**
	 * Probes to several daemons in a row timed out; this daemon counts as isolated and
	 * declares no daemon dead.
	 */
	ISOLATED,

	/** A daemon responded again after the isolation of this daemon. */
	REJOINED;

	/**
	 * Returns the name in metrics and logs.
	 * @return the name in lower case with dashes
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
