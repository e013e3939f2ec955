package org.sardineport.core.rollout;

import org.jspecify.annotations.Nullable;

/**
 * The newest stored status of a pool's rollout, and where a next one would be stored.
 *
 * @param status the status, or {@code null} if none is stored
 * @param term number of the claim or step that stored it; 0 if none is stored
 * @param next number of the next record of any pool
 */
public record StoredRollout(@Nullable RolloutStatus status, long term, long next) {

	/**
	 * Returns the number of the claim that the next record would be.
	 * @return the number, above 0 and above that of any record before
	 */
	public long nextTerm() {
		return this.next + 1;
	}

	/**
	 * Returns the final phase of an order, if it is over.
	 * @param order the order
	 * @return the phase, or {@code null} if the order is not over as far as stored
	 */
	public @Nullable RolloutPhase finalPhase(RolloutOrder order) {
		RolloutStatus stored = this.status;
		if (stored == null || stored.revision() != order.revision() || !stored.state().phase().isFinal()) {
			return null;
		}
		return stored.state().phase();
	}

}
