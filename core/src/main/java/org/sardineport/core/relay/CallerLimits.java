package org.sardineport.core.relay;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits on the size of callers' requests and on the lifetime of their idle connections.
 *
 * @param maxBodyBytes maximum size of a request body, in bytes; not negative
 * @param idleTimeout time after which a connection without a request is closed; positive
 */
public record CallerLimits(int maxBodyBytes, Duration idleTimeout) {

	/** Limits that apply before the first configuration has been read. */
	static final CallerLimits NONE = new CallerLimits(0, Duration.ofSeconds(30));

	/**
	 * Creates the limits.
	 * @throws IllegalArgumentException if the body limit is negative or the idle timeout
	 * is not positive
	 */
	public CallerLimits {
		Objects.requireNonNull(idleTimeout, "idleTimeout must not be null");
		if (maxBodyBytes < 0) {
			throw new IllegalArgumentException("maxBodyBytes must not be negative, found %d".formatted(maxBodyBytes));
		}
		if (idleTimeout.isNegative() || idleTimeout.isZero()) {
			throw new IllegalArgumentException("idleTimeout must be above zero, found %s".formatted(idleTimeout));
		}
	}

}
