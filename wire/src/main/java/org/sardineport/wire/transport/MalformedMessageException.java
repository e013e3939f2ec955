package org.sardineport.wire.transport;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.error.SardineportException;

/**
 * A message between daemons has a missing field or one out of range.
 */
public final class MalformedMessageException extends SardineportException {

	private static final String REMEDY = "Run the same release on all daemons of the fleet.";

	private MalformedMessageException(String message, @Nullable Throwable cause) {
		super(message, REMEDY, cause);
	}

	/**
	 * Returns the error.
	 * @param message what was found
	 * @return the error
	 */
	public static MalformedMessageException of(String message) {
		return new MalformedMessageException(message, null);
	}

	/**
	 * Returns the error with its cause.
	 * @param message what was found
	 * @param cause the cause
	 * @return the error
	 */
	public static MalformedMessageException of(String message, Throwable cause) {
		return new MalformedMessageException(message, cause);
	}

}
