package org.sardineport.core.stream;

import java.time.Duration;
import java.util.Objects;

/**
 * Tells a daemon what to remember of a run.
 *
 * @param key key of the stream
 * @param run what is known of the run
 * @param keep how long the caller may still come back
 * @param correlation number to repeat in an {@link OriginReply}; 0 asks for none
 */
public record OriginReport(StreamKey key, RunOrigin run, Duration keep,
		int correlation) implements StreamOriginMessage {

	/**
	 * Creates the report.
	 * @throws IllegalArgumentException if the time is negative or exceeds
	 * {@link StreamOrigins#MAXIMUM_KEEP}
	 */
	public OriginReport {
		Objects.requireNonNull(key, "key must not be null");
		Objects.requireNonNull(run, "run must not be null");
		if (keep.isNegative() || keep.compareTo(StreamOrigins.MAXIMUM_KEEP) > 0) {
			throw new IllegalArgumentException(
					"keep must be 0 to %s, found %s".formatted(StreamOrigins.MAXIMUM_KEEP, keep));
		}
	}

}
