package org.sardineport.core.relay;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits on the size of callers' requests, on the time that a head may take, and on the
 * lifetime of idle connections.
 *
 * @param maxBodyBytes maximum size of a request body, in bytes; not negative
 * @param idleTimeout time after which a connection without a request is closed; positive
 * @param headTimeout time after its first byte within which a head is complete; positive
 */
public record CallerLimits(int maxBodyBytes, Duration idleTimeout, Duration headTimeout) {

	/** Timeout of a head if none is configured. */
	public static final Duration DEFAULT_HEAD_TIMEOUT = Duration.ofSeconds(30);

	/** Limits that apply before the first configuration has been read. */
	static final CallerLimits NONE = new CallerLimits(0, Duration.ofSeconds(30));

	/**
	 * Creates the limits.
	 * @throws IllegalArgumentException if the body limit is negative or a timeout is not
	 * positive
	 */
	public CallerLimits {
		Objects.requireNonNull(idleTimeout, "idleTimeout must not be null");
		Objects.requireNonNull(headTimeout, "headTimeout must not be null");
		if (maxBodyBytes < 0) {
			throw new IllegalArgumentException("maxBodyBytes must not be negative, found %d".formatted(maxBodyBytes));
		}
		if (idleTimeout.isNegative() || idleTimeout.isZero()) {
			throw new IllegalArgumentException("idleTimeout must be above zero, found %s".formatted(idleTimeout));
		}
		if (headTimeout.isNegative() || headTimeout.isZero()) {
			throw new IllegalArgumentException("headTimeout must be above zero, found %s".formatted(headTimeout));
		}
	}

	/**
	 * Creates limits with the default timeout of a head.
	 * @param maxBodyBytes maximum size of a request body, in bytes
	 * @param idleTimeout time after which a connection without a request is closed
	 */
	public CallerLimits(int maxBodyBytes, Duration idleTimeout) {
		this(maxBodyBytes, idleTimeout, DEFAULT_HEAD_TIMEOUT);
	}

}
