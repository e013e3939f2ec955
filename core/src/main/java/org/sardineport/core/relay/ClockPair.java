package org.sardineport.core.relay;

/**
 * Source of simultaneous readings of the steady clock and the time of day. Thread-safe.
 */
@FunctionalInterface
public interface ClockPair {

	/**
	 * Reads both clocks in immediate succession.
	 * @return the reading
	 */
	ClockReading read();

}
