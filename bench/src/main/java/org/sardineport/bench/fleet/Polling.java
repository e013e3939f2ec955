package org.sardineport.bench.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/**
 * Static method to wait for a condition that cannot notify the waiting thread.
 */
final class Polling {

	private Polling() {
	}

	/**
	 * Waits until a condition is met.
	 * @param condition the condition, checked on the calling thread
	 * @param interval time between two checks
	 * @param timeout longest time to wait
	 * @param failure start of the message if the condition is not met in time
	 * @throws IllegalStateException if the condition is not met in time
	 */
	static void awaitCondition(BooleanSupplier condition, Duration interval, Duration timeout, String failure) {
		Instant end = Instant.now().plus(timeout);
		while (!condition.getAsBoolean()) {
			if (Instant.now().isAfter(end)) {
				throw new IllegalStateException(failure + " within " + timeout);
			}
			LockSupport.parkNanos(interval.toNanos());
		}
	}

}
