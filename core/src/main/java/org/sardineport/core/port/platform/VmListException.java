package org.sardineport.core.port.platform;

import org.sardineport.core.error.SardineportException;

/**
 * Signals that the platform's list of VMs could not be fetched.
 */
public final class VmListException extends SardineportException {

	private VmListException(String message, Throwable cause) {
		super(message, "Use the list last fetched and ask again later.", cause);
	}

	/**
	 * Returns an exception with its cause.
	 * @param message the attempted operation and the observed error
	 * @param cause the cause
	 * @return the exception
	 */
	public static VmListException of(String message, Throwable cause) {
		return new VmListException(message, cause);
	}

}
