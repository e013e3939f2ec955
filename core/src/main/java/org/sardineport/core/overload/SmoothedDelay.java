package org.sardineport.core.overload;

import java.time.Duration;

/**
 * Moving average of the delay of one thread. A single long measurement, as after a pause
 * of the garbage collector or of the whole machine, does not count: each measurement is
 * capped at the one before it. Not thread-safe.
 */
public final class SmoothedDelay {

	/**
	 * Weight of a new measurement. Three measurements in a row of twice a threshold bring
	 * the average above it, and eight of zero bring it to a twentieth.
	 */
	private static final double WEIGHT = 0.3;

	private static final double NANOS_PER_MILLI = 1e6;

	private double previousMillis;

	private double millis;

	private SmoothedDelay() {
	}

	/**
	 * Returns an average of zero.
	 * @return the average
	 */
	public static SmoothedDelay create() {
		return new SmoothedDelay();
	}

	/**
	 * Adds a measurement.
	 * @param delay the delay; negative values count as zero
	 */
	public void record(Duration delay) {
		double measured = Math.max(0, delay.toNanos() / NANOS_PER_MILLI);
		this.millis += WEIGHT * (Math.min(measured, this.previousMillis) - this.millis);
		this.previousMillis = measured;
	}

	/**
	 * Returns the average.
	 * @return the delay, not negative
	 */
	public Duration value() {
		return Duration.ofNanos((long) (this.millis * NANOS_PER_MILLI));
	}

}
