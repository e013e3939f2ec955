package org.sardineport.core.rollout;

import java.util.Objects;

/**
 * What the runs of one route showed of both arms of a rollout.
 *
 * @param target the version that is brought in
 * @param others all other versions
 */
public record RouteEvidence(ArmEvidence target, ArmEvidence others) {

	/**
	 * Creates the evidence.
	 */
	public RouteEvidence {
		Objects.requireNonNull(target, "target must not be null");
		Objects.requireNonNull(others, "others must not be null");
	}

	static RouteEvidence create() {
		return new RouteEvidence(ArmEvidence.create(), ArmEvidence.create());
	}

	RouteEvidence copy() {
		return new RouteEvidence(this.target.copy(), this.others.copy());
	}

	RouteEvidence since(RouteEvidence earlier) {
		return new RouteEvidence(this.target.since(earlier.target), this.others.since(earlier.others));
	}

	ArmEvidence arm(boolean isTarget) {
		return isTarget ? this.target : this.others;
	}

}
