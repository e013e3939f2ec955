package org.sardineport.core.fleet;

/**
 * Status of a daemon as known to another one. Of two statuses of the same incarnation,
 * the one declared later supersedes the other.
 */
public enum MemberStatus {

	/** The daemon responds. */
	ALIVE,

	/** The daemon has not responded to a probe; it may be dead. */
	SUSPECT,

	/** The daemon has announced a planned stop. */
	LEAVING,

	/** The daemon was declared dead. */
	DEAD;

	/**
	 * Returns whether a daemon with this status may own backend servers and be named to
	 * callers.
	 * @return whether the daemon may receive new work
	 */
	public boolean isEligible() {
		return this == ALIVE;
	}

}
