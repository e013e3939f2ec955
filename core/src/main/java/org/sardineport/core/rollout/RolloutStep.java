package org.sardineport.core.rollout;

/**
 * What a coordinator has to do next.
 */
public enum RolloutStep {

	/** Nothing has changed. */
	NONE,

	/** Announce the stage at once. */
	ANNOUNCE,

	/**
	 * Store that the rollout is complete, and announce it after that. No other step may
	 * follow until it is known whether this was stored.
	 */
	COMPLETE,

	/** Announce at once that the target is taken back, and store it. */
	ROLL_BACK

}
