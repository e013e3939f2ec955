package org.sardineport.core.rollout;

/**
 * State of a rollout as operators read it.
 */
public enum RolloutState {

	/** The rollout is under way. */
	RUNNING,

	/** The target has all traffic; the other versions stop at once. */
	COMPLETE,

	/** The target was taken back; its backend servers leave. */
	ROLLED_BACK;

	/**
	 * Returns the phase that a stored state stands for.
	 * @return the phase; {@link RolloutPhase#CANARY} while the rollout is under way
	 */
	public RolloutPhase phase() {
		return switch (this) {
			case RUNNING -> RolloutPhase.CANARY;
			case COMPLETE -> RolloutPhase.COMPLETE;
			case ROLLED_BACK -> RolloutPhase.ROLLED_BACK;
		};
	}

	/**
	 * Returns the state that a phase is stored as.
	 * @param phase the phase
	 * @return the state
	 */
	public static RolloutState of(RolloutPhase phase) {
		return switch (phase) {
			case CANARY, FULL -> RUNNING;
			case COMPLETE -> COMPLETE;
			case ROLLED_BACK -> ROLLED_BACK;
		};
	}

}
