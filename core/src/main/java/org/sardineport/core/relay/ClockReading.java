package org.sardineport.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;

/**
 * What two clocks showed at one moment. Neither can be trusted alone: the steady clock
 * stands still while the VM is suspended, and the time of day may jump.
 *
 * @param steady the steady clock, from any origin
 * @param timeOfDay the time of day
 */
public record ClockReading(Duration steady, Instant timeOfDay) {

	/** Most by which two clocks that are in order differ over a few seconds. */
	private static final Duration TOLERANCE = Duration.ofMillis(200);

	/**
	 * Creates the reading.
	 */
	public ClockReading {
		Objects.requireNonNull(steady, "steady must not be null");
		Objects.requireNonNull(timeOfDay, "timeOfDay must not be null");
	}

	/**
	 * Returns the time since an earlier reading by the steady clock.
	 * @param earlier the earlier reading
	 * @return the time
	 */
	Duration steadySince(ClockReading earlier) {
		return this.steady.minus(earlier.steady);
	}

	/**
	 * Returns the time since an earlier reading by the time of day.
	 * @param earlier the earlier reading
	 * @return the time; negative if the time of day went back
	 */
	Duration timeOfDaySince(ClockReading earlier) {
		return Duration.between(earlier.timeOfDay, this.timeOfDay);
	}

	/**
	 * Returns whether the clocks measured different times since an earlier reading.
	 * @param earlier the earlier reading
	 * @return whether the VM was suspended or its time of day was set in between
	 */
	boolean isApartFrom(ClockReading earlier) {
		Duration difference = timeOfDaySince(earlier).minus(steadySince(earlier));
		return difference.abs().compareTo(TOLERANCE) > 0;
	}

}
