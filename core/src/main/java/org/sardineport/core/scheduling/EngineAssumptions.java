package org.sardineport.core.scheduling;

import java.util.Objects;

import org.sardineport.core.limit.ConcurrencyPolicy;

/**
 * Assumptions about the engines that apply before, or instead of, measurements.
 *
 * @param concurrency how the number of concurrent requests to a backend server is
 * determined
 * @param roughEstimates whether answer lengths are only guessed, so that a run that takes
 * longer than expected is no evidence of a slow backend server
 * @param hitShare share of a prompt assumed to be cached on a backend server that ran its
 * prefix recently, until an engine reports cached tokens; from 0 to 1
 * @param homeHitShare the same share for the home backend server of a prefix, as assumed
 * by a daemon that does not grant its permits; from 0 to 1
 */
public record EngineAssumptions(ConcurrencyPolicy concurrency, boolean roughEstimates, double hitShare,
		double homeHitShare) {

	/** No prior knowledge: engines report cached tokens, and limits are learned. */
	public static final EngineAssumptions NONE = new EngineAssumptions(ConcurrencyPolicy.ADAPTIVE, false, 0, 0.3);

	/**
	 * Creates the assumptions.
	 * @throws IllegalArgumentException if a share is not from 0 to 1
	 */
	public EngineAssumptions {
		Objects.requireNonNull(concurrency, "concurrency must not be null");
		if (hitShare < 0 || hitShare > 1 || homeHitShare < 0 || homeHitShare > 1) {
			throw new IllegalArgumentException(
					"shares must be from 0 to 1, found %s and %s".formatted(hitShare, homeHitShare));
		}
	}

}
