package org.sardineport.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;

/**
 * Simultaneous reading of two clocks. Neither clock is reliable alone: the steady clock
 * stops while the VM is suspended, and the time of day may jump.
 *
 * @param steady time of the steady (monotonic) clock since an arbitrary origin
 * @param timeOfDay wall-clock time
 */
public record ClockReading(Duration steady, Instant timeOfDay) {

	/** Largest difference between two correct clocks over a few seconds. */
	private static final Duration MAX_CLOCK_DIFFERENCE = Duration.ofMillis(200);

	/**
	 * Creates the reading; both clocks are mandatory.
	 */
	public ClockReading {
		Objects.requireNonNull(steady, "steady must not be null");
		Objects.requireNonNull(timeOfDay, "timeOfDay must not be null");
	}

	/**
	 * Returns the time that passed on the steady clock since an earlier reading.
	 * @param earlier the earlier reading
	 * @return the elapsed time, without time for which the VM was suspended
	 */
	Duration steadySince(ClockReading earlier) {
		return this.steady.minus(earlier.steady);
	}

	/**
	 * Returns the time that passed on the wall clock since an earlier reading.
	 * @param earlier the earlier reading
	 * @return the elapsed time; negative if the time of day was set back
	 */
	Duration timeOfDaySince(ClockReading earlier) {
		return Duration.between(earlier.timeOfDay, this.timeOfDay);
	}

	/**
	 * Returns whether the two clocks measured different durations since an earlier
	 * reading.
	 * @param earlier the earlier reading
	 * @return {@code true} if the VM was suspended or its time of day was changed in
	 * between
	 */
	boolean disagreesWith(ClockReading earlier) {
		Duration difference = timeOfDaySince(earlier).minus(steadySince(earlier));
		return difference.abs().compareTo(MAX_CLOCK_DIFFERENCE) > 0;
	}

}
