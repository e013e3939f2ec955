package org.sardineport.daemon.time;

import java.time.Instant;
import java.time.InstantSource;
import java.util.Objects;

/**
 * Clock that starts at the system's time and then advances with the monotonic clock, so
 * that deadlines and leases never see time go back or jump. Safe for use by any thread.
 */
public final class SteadyInstantSource implements InstantSource {

	private final Instant start;

	private final long startNanos;

	private SteadyInstantSource(Instant start, long startNanos) {
		this.start = Objects.requireNonNull(start, "start must not be null");
		this.startNanos = startNanos;
	}

	/**
	 * Returns a clock that starts now.
	 * @return the clock
	 */
	public static SteadyInstantSource create() {
		return new SteadyInstantSource(Instant.now(), System.nanoTime());
	}

	@Override
	public Instant instant() {
		return this.start.plusNanos(System.nanoTime() - this.startNanos);
	}

}
