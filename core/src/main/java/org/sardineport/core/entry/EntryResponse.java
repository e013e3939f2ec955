package org.sardineport.core.entry;

import java.time.Duration;
import java.util.List;

import org.sardineport.core.identity.NetworkAddress;

/**
 * Response to a caller that requests the addresses of daemons.
 *
 * @param addresses addresses in the order in which to try them; empty if no daemon may be
 * selected
 * @param keepTime time during which the caller may cache the response
 */
public record EntryResponse(List<NetworkAddress> addresses, Duration keepTime) {

	/**
	 * Creates the response with a copy of the addresses.
	 */
	public EntryResponse {
		addresses = List.copyOf(addresses);
	}

}
