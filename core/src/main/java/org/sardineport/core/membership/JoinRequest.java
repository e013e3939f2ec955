package org.sardineport.core.membership;

import java.util.Objects;

/**
 * Requests members from a daemon.
 *
 * @param complete whether to send all members, in several responses, or only a sample
 * @param updates membership updates from the sender
 */
public record JoinRequest(boolean complete, GossipUpdates updates) implements MembershipMessage {

	/**
	 * Creates the message.
	 */
	public JoinRequest {
		Objects.requireNonNull(updates, "updates must not be null");
	}

}
