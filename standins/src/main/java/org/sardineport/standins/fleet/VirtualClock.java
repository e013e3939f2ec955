package org.sardineport.standins.fleet;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/**
 * Clock that only advances when it is told to. Not thread-safe.
 */
public final class VirtualClock implements InstantSource {

	private Instant now;

	private VirtualClock(Instant start) {
		this.now = start;
	}

	/**
	 * Creates a clock.
	 * @param start its initial time
	 * @return the clock
	 */
	public static VirtualClock startingAt(Instant start) {
		return new VirtualClock(start);
	}

	/**
	 * Advances the clock.
	 * @param duration how far
	 */
	public void advance(Duration duration) {
		this.now = this.now.plus(duration);
	}

	@Override
	public Instant instant() {
		return this.now;
	}

}
