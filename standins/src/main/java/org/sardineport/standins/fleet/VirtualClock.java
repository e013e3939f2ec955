package org.sardineport.standins.fleet;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/**
 * Clock that goes on only when told. Not safe for use by several threads.
 */
public final class VirtualClock implements InstantSource {

	private Instant now;

	private VirtualClock(Instant start) {
		this.now = start;
	}

	/**
	 * Returns a clock.
	 * @param start the first time that it tells
	 * @return the clock
	 */
	public static VirtualClock startingAt(Instant start) {
		return new VirtualClock(start);
	}

	/**
	 * Lets time pass.
	 * @param duration how much
	 */
	public void advance(Duration duration) {
		this.now = this.now.plus(duration);
	}

	@Override
	public Instant instant() {
		return this.now;
	}

}
