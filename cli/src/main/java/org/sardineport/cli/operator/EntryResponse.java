package org.sardineport.cli.operator;

import java.util.List;

/**
 * What a daemon tells callers about addresses.
 *
 * @param addresses addresses in the order in which to try them
 * @param keepSeconds time for which a caller may keep the answer
 */
public record EntryResponse(List<String> addresses, long keepSeconds) {

	/**
	 * Creates the answer.
	 */
	public EntryResponse {
		addresses = (addresses != null) ? List.copyOf(addresses) : List.of();
	}

}
