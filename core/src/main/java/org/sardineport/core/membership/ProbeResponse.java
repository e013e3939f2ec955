package org.sardineport.core.membership;

import java.util.Objects;

/**
 * Response to a probe, sent by the target or relayed by the daemon that probed it on
 * behalf of another.
 *
 * @param sequence number of the probe
 * @param updates membership updates from the sender
 */
public record ProbeResponse(long sequence, GossipUpdates updates) implements MembershipMessage {

	/**
	 * Creates the message.
	 */
	public ProbeResponse {
		Objects.requireNonNull(updates, "updates must not be null");
	}

}
