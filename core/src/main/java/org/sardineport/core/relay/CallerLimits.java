package org.sardineport.core.relay;

import java.time.Duration;
import java.util.Objects;

/**
 * What callers may send and how long they may keep a connection that they do not use.
 *
 * @param mostBodyBytes largest body of a request, in bytes
 * @param idleTimeout time after which a connection without a request is closed, above
 * zero
 */
public record CallerLimits(int mostBodyBytes, Duration idleTimeout) {

	/** Limits in force before any configuration was read. */
	static final CallerLimits NONE = new CallerLimits(0, Duration.ofSeconds(30));

	/**
	 * Creates the limits.
	 * @throws IllegalArgumentException if a limit is negative or the idle time is zero
	 */
	public CallerLimits {
		Objects.requireNonNull(idleTimeout, "idleTimeout must not be null");
		if (mostBodyBytes < 0) {
			throw new IllegalArgumentException("mostBodyBytes must not be negative, found %d".formatted(mostBodyBytes));
		}
		if (idleTimeout.isNegative() || idleTimeout.isZero()) {
			throw new IllegalArgumentException("idleTimeout must be above zero, found %s".formatted(idleTimeout));
		}
	}

}
