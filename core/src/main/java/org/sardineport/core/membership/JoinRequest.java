package org.sardineport.core.membership;

import java.util.Objects;

/**
 * Requests members from a daemon.
 *
 * @param complete whether to send all members, in several responses, or only a sample
 * @param news membership updates from the sender
 */
public record JoinRequest(boolean complete, News news) implements MembershipMessage {

	/**
	 * Creates the message.
	 */
	public JoinRequest {
		Objects.requireNonNull(news, "news must not be null");
	}

}
