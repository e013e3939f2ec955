package org.sardineport.core.port.backend;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.error.SardineportException;

/**
 * Signals that an exchange with a backend server failed.
 */
public final class BackendException extends SardineportException {

	private final BackendFailure failure;

	private BackendException(BackendFailure failure, String message, @Nullable Throwable cause) {
		super(message, failure.remedy(), cause);
		this.failure = failure;
	}

	/**
	 * Returns an exception of the given kind.
	 * @param failure the kind of the failure
	 * @param message the attempted operation and the observed error
	 * @return the exception
	 */
	public static BackendException of(BackendFailure failure, String message) {
		return new BackendException(failure, message, null);
	}

	/**
	 * Returns an exception of the given kind with its cause.
	 * @param failure the kind of the failure
	 * @param message the attempted operation and the observed error
	 * @param cause the cause
	 * @return the exception
	 */
	public static BackendException of(BackendFailure failure, String message, Throwable cause) {
		return new BackendException(failure, message, cause);
	}

	/**
	 * Returns the kind of the failure, which says whether the request may have run.
	 * @return the kind
	 */
	public BackendFailure failure() {
		return this.failure;
	}

}
