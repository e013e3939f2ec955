package org.sardineport.core.rollout;

import java.util.Objects;

/**
 * How far a rollout has come, as its coordinator announces it.
 *
 * @param revision number of the order
 * @param term number of the coordinator's claim; a later claim has a higher one
 * @param phase the phase
 * @param share share of the requests that is sent to the target during
 * {@link RolloutPhase#CANARY}, from 0 to 1
 * @param servers maximum number of backend servers of the target that share them; 0 for
 * all
 */
public record RolloutStage(long revision, long term, RolloutPhase phase, double share, int servers) {

	/**
	 * Creates the stage.
	 * @throws IllegalArgumentException if the share is not from 0 to 1 or there are fewer
	 * than 0 servers
	 */
	public RolloutStage {
		Objects.requireNonNull(phase, "phase must not be null");
		if (!(share >= 0 && share <= 1) || servers < 0) {
			throw new IllegalArgumentException(
					"share must be 0 to 1 and servers not negative, found %s and %d".formatted(share, servers));
		}
	}

	/**
	 * Returns whether this stage replaces another one of the same order. A final phase is
	 * kept; of two coordinators the one with the later claim counts; one coordinator
	 * never returns to an earlier phase.
	 * @param other the stage known so far
	 * @return whether to follow this one
	 */
	boolean replaces(RolloutStage other) {
		if (other.phase.isFinal()) {
			return false;
		}
		return (this.term != other.term) ? this.term > other.term : this.phase.compareTo(other.phase) >= 0;
	}

}
