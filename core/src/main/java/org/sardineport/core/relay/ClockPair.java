package org.sardineport.core.relay;

/**
 * Source of readings of both clocks. Safe for use by any thread.
 */
@FunctionalInterface
public interface ClockPair {

	/**
	 * Reads both clocks.
	 * @return the reading
	 */
	ClockReading read();

}
