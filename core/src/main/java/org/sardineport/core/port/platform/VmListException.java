package org.sardineport.core.port.platform;

import org.sardineport.core.error.SardineportException;

/**
 * The platform's list of VMs could not be had.
 */
public final class VmListException extends SardineportException {

	private VmListException(String message, Throwable cause) {
		super(message, "Use the list last fetched and ask again later.", cause);
	}

	/**
	 * Returns the error for a cause.
	 * @param message what was tried and found
	 * @param cause the cause
	 * @return the error
	 */
	public static VmListException of(String message, Throwable cause) {
		return new VmListException(message, cause);
	}

}
