package org.sardineport.wire.transport;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.error.SardineportException;

/**
 * Thrown when a message between daemons has a missing field or a field out of range.
 */
public final class MalformedMessageException extends SardineportException {

	private static final String REMEDY = "Run the same release on all daemons of the fleet.";

	private MalformedMessageException(String message, @Nullable Throwable cause) {
		super(message, REMEDY, cause);
	}

	/**
	 * Creates an exception.
	 * @param message the field or body in error
	 * @return the exception
	 */
	public static MalformedMessageException of(String message) {
		return new MalformedMessageException(message, null);
	}

	/**
	 * Creates an exception with a cause.
	 * @param message the field or body in error
	 * @param cause the cause
	 * @return the exception
	 */
	public static MalformedMessageException of(String message, Throwable cause) {
		return new MalformedMessageException(message, cause);
	}

}
