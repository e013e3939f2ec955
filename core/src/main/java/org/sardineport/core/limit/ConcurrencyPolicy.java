package org.sardineport.core.limit;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.capacity.LearnedCapacity;

/**
 * Determines how the concurrency limit of a backend server is set.
 */
public enum ConcurrencyPolicy {

	/** Adapts the limit to measured durations, with headroom for the top tier. */
	ADAPTIVE {

		@Override
		public AdaptiveLimit limitOf(int nominal) {
			return AdaptiveLimit.of(nominal);
		}

	},

	/**
	 * Uses the nominal concurrency for every tier, as the engine itself admits no more
	 * requests.
	 */
	NOMINAL {

		@Override
		public AdaptiveLimit limitOf(int nominal) {
			return AdaptiveLimit.fixed(nominal);
		}

	},

	/**
	 * Uses the nominal concurrency until runs show that less is enough for the same
	 * throughput, for every tier.
	 */
	LEARNED {

		@Override
		public AdaptiveLimit limitOf(int nominal) {
			return AdaptiveLimit.fixed(nominal);
		}

		@Override
		public @Nullable LearnedCapacity capacityOf(int nominal) {
			return LearnedCapacity.of(nominal);
		}

	};

	/**
	 * Creates what is learned of one backend server instead of its limit.
	 * @param nominal number of requests that the backend server is configured to run
	 * concurrently, at least 1
	 * @return the capacity, or {@code null} if the limit applies
	 */
	public @Nullable LearnedCapacity capacityOf(int nominal) {
		return null;
	}

	/**
	 * Creates the limit of one backend server.
	 * @param nominal number of requests that the backend server is configured to run
	 * concurrently, at least 1
	 * @return the limit
	 */
	public abstract AdaptiveLimit limitOf(int nominal);

}
