package org.sardineport.core.scheduling;

import java.util.Objects;

import org.sardineport.core.limit.Concurrency;

/**
 * What is taken to be true of the engines before, or instead of, measuring it.
 *
 * @param concurrency how many requests a backend server is given at once
 * @param roughEstimates whether the length of answers is only guessed, so that a run
 * which takes longer than expected says nothing of its backend server
 * @param hitShare share of a prompt taken to be cached where its prefix ran lately, until
 * an engine reports what was cached; from 0 to 1
 * @param homeHitShare the same for the backend server to which all prompts with the
 * prefix are sent, as seen by a daemon that does not grant its permits
 */
public record EngineAssumptions(Concurrency concurrency, boolean roughEstimates, double hitShare, double homeHitShare) {

	/** Nothing is known: engines report what was cached, and limits are learned. */
	public static final EngineAssumptions NONE = new EngineAssumptions(Concurrency.LEARNED, false, 0, 0.3);

	/**
	 * Creates the assumptions.
	 * @throws IllegalArgumentException if a share is out of range
	 */
	public EngineAssumptions {
		Objects.requireNonNull(concurrency, "concurrency must not be null");
		if (hitShare < 0 || hitShare > 1 || homeHitShare < 0 || homeHitShare > 1) {
			throw new IllegalArgumentException(
					"shares must be from 0 to 1, found %s and %s".formatted(hitShare, homeHitShare));
		}
	}

}
