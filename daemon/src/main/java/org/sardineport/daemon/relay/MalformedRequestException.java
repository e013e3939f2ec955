package org.sardineport.daemon.relay;

import org.sardineport.core.error.SardineportException;

/**
 * A caller's request breaks the protocol.
 */
public final class MalformedRequestException extends SardineportException {

	private MalformedRequestException(String message) {
		super(message, "Send a request as the protocol describes it.", null);
	}

	/**
	 * Returns the error.
	 * @param message what is wrong with the request
	 * @return the error
	 */
	public static MalformedRequestException of(String message) {
		return new MalformedRequestException(message);
	}

}
