package org.sardineport.core.exchange;

import java.util.Locale;

/**
 * How a response states where it ends.
 */
public enum ResponseFraming {

	/** The response has no body, whatever its headers say. */
	NO_BODY,

	/** The body has the length that a header states. */
	LENGTH,

	/** The body ends with its last chunk. */
	CHUNKS,

	/**
	 * The body ends with the connection. Its end states nothing, as the end of the
	 * process closes the connection, too.
	 */
	UNTIL_CLOSE;

	private static final int STATUS_NO_CONTENT = 204;

	private static final int STATUS_NOT_MODIFIED = 304;

	/**
	 * Returns the framing of a final response.
	 * @param method method of the request
	 * @param status status of the response
	 * @param chunked whether the response is sent in chunks
	 * @param hasLength whether a header states its length
	 * @return the framing
	 */
	public static ResponseFraming of(String method, int status, boolean chunked, boolean hasLength) {
		if (method.equals("HEAD") || status == STATUS_NO_CONTENT || status == STATUS_NOT_MODIFIED) {
			return NO_BODY;
		}
		if (chunked) {
			return CHUNKS;
		}
		return hasLength ? LENGTH : UNTIL_CLOSE;
	}

	/**
	 * Returns whether the response itself states its end.
	 * @return {@code false} if only the end of its connection ends it
	 */
	public boolean statesEnd() {
		return this != UNTIL_CLOSE;
	}

	/**
	 * Returns the name in logs and metrics.
	 * @return the name in lower case with dashes
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
