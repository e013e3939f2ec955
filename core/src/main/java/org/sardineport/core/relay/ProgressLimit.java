package org.sardineport.core.relay;

import java.time.Duration;
import java.util.Objects;

/**
 * Minimum rate at which a caller sends a body.
 *
 * @param window time over which the rate is measured; positive
 * @param minBytesPerSecond minimum rate; positive
 */
public record ProgressLimit(Duration window, long minBytesPerSecond) {

	/**
	 * Far below the links of some 10 KB/s that ordinary callers may have, and longer than
	 * losses of packets delay one.
	 */
	public static final ProgressLimit DEFAULT = new ProgressLimit(Duration.ofSeconds(30), 256);

	private static final long MILLIS_PER_SECOND = 1000;

	/**
	 * Creates the limit.
	 * @throws IllegalArgumentException if the window or the rate is not positive
	 */
	public ProgressLimit {
		Objects.requireNonNull(window, "window must not be null");
		if (window.isNegative() || window.isZero() || minBytesPerSecond <= 0) {
			throw new IllegalArgumentException(
					"window and rate must be positive, found %s and %d".formatted(window, minBytesPerSecond));
		}
	}

	/**
	 * Returns the bytes of one window at the minimum rate.
	 * @return the number of bytes, at least one
	 */
	long bytesPerWindow() {
		return Math.max(1, this.window.toMillis() * this.minBytesPerSecond / MILLIS_PER_SECOND);
	}

}
