package org.sardineport.cli.operator;

import java.util.List;

/**
 * Entry addresses that a daemon returns to callers.
 *
 * @param addresses addresses of daemons, in the order in which to try them
 * @param keepSeconds time in seconds for which a caller may cache the addresses
 */
public record EntryResponse(List<String> addresses, long keepSeconds) {

	/**
	 * Creates a response; an absent list is empty.
	 */
	public EntryResponse {
		addresses = (addresses != null) ? List.copyOf(addresses) : List.of();
	}

}
