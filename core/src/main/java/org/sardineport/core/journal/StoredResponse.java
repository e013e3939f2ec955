package org.sardineport.core.journal;

import java.util.Map;
import java.util.Objects;

/**
 * Complete answer stored in the journal.
 *
 * @param status HTTP status
 * @param headers headers to send with the answer, by lower-case name
 * @param body the body; the array is not copied and must not be changed
 */
public record StoredResponse(int status, Map<String, String> headers, byte[] body) {

	/**
	 * Creates the answer.
	 */
	public StoredResponse {
		headers = Map.copyOf(headers);
		Objects.requireNonNull(body, "body must not be null");
	}

}
