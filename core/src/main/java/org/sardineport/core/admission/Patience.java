package org.sardineport.core.admission;

import java.time.Instant;
import java.util.Objects;

/**
 * Until when it is of use to begin a request.
 *
 * @param promptBy until when its answer begins in time for its caller
 * @param startBy until when its caller still waits; not before {@code promptBy}
 */
public record Patience(Instant promptBy, Instant startBy) {

	/**
	 * Creates the limits.
	 */
	public Patience {
		Objects.requireNonNull(promptBy, "promptBy must not be null");
		Objects.requireNonNull(startBy, "startBy must not be null");
		startBy = startBy.isBefore(promptBy) ? promptBy : startBy;
	}

	/**
	 * Returns the limits of a caller for whom any start up to one instant is as good.
	 * @param instant the instant
	 * @return the limits
	 */
	public static Patience until(Instant instant) {
		return new Patience(instant, instant);
	}

}
