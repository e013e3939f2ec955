package org.sardineport.core.capacity;

import java.util.List;
import java.util.function.LongToIntFunction;

/**
 * Limit of the concurrency of a simulated server, which may learn from the runs.
 */
interface SimulatedLimit {

	int limit(int running, long now);

	/**
	 * Observes the end of a run.
	 * @param meanLoad mean number of concurrent requests during the run
	 * @param millis measured duration of the run
	 * @param now the time
	 */
	default void completed(double meanLoad, double millis, long now) {
	}

	static SimulatedLimit fixed(int limit) {
		return known((now) -> limit);
	}

	static SimulatedLimit known(LongToIntFunction limits) {
		return (running, now) -> limits.applyAsInt(now);
	}

	static SimulatedLimit learned(LearnedCapacity capacity, List<CapacityChange> changes) {
		return new SimulatedLimit() {

			@Override
			public int limit(int running, long now) {
				capacity.update(running, now).ifPresent(changes::add);
				return capacity.limit();
			}

			@Override
			public void completed(double meanLoad, double millis, long now) {
				capacity.observe(meanLoad, millis, millis, now);
			}

		};
	}

}
