package org.sardineport.cli;

import org.sardineport.core.error.SardineportException;

/**
 * The command line cannot be carried out as it was written.
 */
public final class UsageException extends SardineportException {

	private static final long serialVersionUID = 1L;

	private UsageException(String message, String remedy) {
		super(message, remedy, null);
	}

	/**
	 * Returns the error.
	 * @param message what is wrong
	 * @param remedy what to write instead
	 * @return the error
	 */
	public static UsageException of(String message, String remedy) {
		return new UsageException(message, remedy);
	}

}
