package org.sardineport.cli;

import org.sardineport.core.error.SardineportException;

/**
 * Thrown when the arguments of a command are missing or invalid.
 */
public final class UsageException extends SardineportException {

	private static final long serialVersionUID = 1L;

	private UsageException(String message, String remedy) {
		super(message, remedy, null);
	}

	/**
	 * Creates an exception.
	 * @param message the argument in error
	 * @param remedy description of a valid argument
	 * @return the exception
	 */
	public static UsageException of(String message, String remedy) {
		return new UsageException(message, remedy);
	}

}
