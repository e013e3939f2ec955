package org.sardineport.core.port.log;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.error.SardineportException;

/**
 * A call to the log service failed.
 */
public final class LogServiceException extends SardineportException {

	private final LogFailure failure;

	private LogServiceException(LogFailure failure, String message, @Nullable Throwable cause) {
		super(message, failure.remedy(), cause);
		this.failure = failure;
	}

	/**
	 * Returns an error of the given kind.
	 * @param failure the kind
	 * @param message what was tried and found
	 * @return the error
	 */
	public static LogServiceException of(LogFailure failure, String message) {
		return new LogServiceException(failure, message, null);
	}

	/**
	 * Returns an error of the given kind with its cause.
	 * @param failure the kind
	 * @param message what was tried and found
	 * @param cause the cause
	 * @return the error
	 */
	public static LogServiceException of(LogFailure failure, String message, Throwable cause) {
		return new LogServiceException(failure, message, cause);
	}

	/**
	 * Returns the kind of the failure.
	 * @return the kind
	 */
	public LogFailure failure() {
		return this.failure;
	}

}
