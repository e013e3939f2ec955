package org.sardineport.daemon.relay;

import org.sardineport.core.error.SardineportException;

/**
 * Thrown if a caller's request violates the protocol.
 */
public final class MalformedRequestException extends SardineportException {

	private MalformedRequestException(String message) {
		super(message, "Send a request as the protocol describes it.", null);
	}

	/**
	 * Returns an exception whose message is sent to the caller.
	 * @param message what is wrong with the request
	 * @return the exception
	 */
	public static MalformedRequestException of(String message) {
		return new MalformedRequestException(message);
	}

}
