package org.sardineport.core.membership;

import java.util.Objects;

/**
 * Probes a daemon, which replies with a {@link ProbeResponse} if it is alive.
 *
 * @param sequence number that the response repeats
 * @param updates membership updates from the sender
 */
public record ProbeRequest(long sequence, GossipUpdates updates) implements MembershipMessage {

	/**
	 * Creates the message.
	 */
	public ProbeRequest {
		Objects.requireNonNull(updates, "updates must not be null");
	}

}
