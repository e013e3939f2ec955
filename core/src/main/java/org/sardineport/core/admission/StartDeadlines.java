package org.sardineport.core.admission;

import java.time.Instant;
import java.util.Objects;

/**
 * Times by which a request should start: a preferred one and a latest one.
 *
 * @param targetStartBy time until which the start of the response is early enough for the
 * caller
 * @param startBy time until which the caller still waits; not before
 * {@code targetStartBy}
 */
public record StartDeadlines(Instant targetStartBy, Instant startBy) {

	/**
	 * Creates the times and raises {@code startBy} to {@code targetStartBy} if it is
	 * earlier.
	 */
	public StartDeadlines {
		Objects.requireNonNull(targetStartBy, "targetStartBy must not be null");
		Objects.requireNonNull(startBy, "startBy must not be null");
		startBy = startBy.isBefore(targetStartBy) ? targetStartBy : startBy;
	}

	/**
	 * Returns the times for a caller without a preference among the starts up to an
	 * instant.
	 * @param instant the latest start
	 * @return the times, both equal to the instant
	 */
	public static StartDeadlines until(Instant instant) {
		return new StartDeadlines(instant, instant);
	}

}
