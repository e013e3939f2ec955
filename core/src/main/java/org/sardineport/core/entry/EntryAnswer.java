package org.sardineport.core.entry;

import java.time.Duration;
import java.util.List;

import org.sardineport.core.identity.NetworkAddress;

/**
 * Answer to a caller that asks which addresses to use.
 *
 * @param addresses addresses in the order in which to try them, each in another failure
 * domain as far as there are enough; empty if no daemon may be named
 * @param keepTime time for which the caller may keep the answer
 */
public record EntryAnswer(List<NetworkAddress> addresses, Duration keepTime) {

	/**
	 * Creates the answer.
	 */
	public EntryAnswer {
		addresses = List.copyOf(addresses);
	}

}
