package org.sardineport.core.fleet;

/**
 * What this daemon holds true of another.
 */
public enum MemberStatus {

	/** It answers. */
	ALIVE,

	/** It has not answered; it may be dead. */
	SUSPECT,

	/** It has announced a planned stop. */
	LEAVING,

	/** It is taken to be dead. */
	DEAD;

	/**
	 * Returns whether a daemon in this state may own backend servers and be named to
	 * callers.
	 * @return whether new work may go to it
	 */
	public boolean isEligible() {
		return this == ALIVE;
	}

}
