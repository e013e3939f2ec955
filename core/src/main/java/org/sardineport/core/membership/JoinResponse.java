package org.sardineport.core.membership;

import java.util.Objects;

/**
 * Response to a {@link JoinRequest}. A list of members too long for one message is sent
 * in several.
 *
 * @param updates membership updates from the sender
 */
public record JoinResponse(GossipUpdates updates) implements MembershipMessage {

	/**
	 * Creates the message.
	 */
	public JoinResponse {
		Objects.requireNonNull(updates, "updates must not be null");
	}

}
