package org.sardineport.core.port.log;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.error.SardineportException;

/**
 * Signals that a call to the log service failed.
 */
public final class LogServiceException extends SardineportException {

	private final LogFailure failure;

	private LogServiceException(LogFailure failure, String message, @Nullable Throwable cause) {
		super(message, failure.remedy(), cause);
		this.failure = failure;
	}

	/**
	 * Returns an exception of the given kind.
	 * @param failure the kind of the failure
	 * @param message the attempted operation and the observed error
	 * @return the exception
	 */
	public static LogServiceException of(LogFailure failure, String message) {
		return new LogServiceException(failure, message, null);
	}

	/**
	 * Returns an exception of the given kind with its cause.
	 * @param failure the kind of the failure
	 * @param message the attempted operation and the observed error
	 * @param cause the cause
	 * @return the exception
	 */
	public static LogServiceException of(LogFailure failure, String message, Throwable cause) {
		return new LogServiceException(failure, message, cause);
	}

	/**
	 * Returns the kind of the failure, which says whether an append may have taken
	 * effect.
	 * @return the kind
	 */
	public LogFailure failure() {
		return this.failure;
	}

}
