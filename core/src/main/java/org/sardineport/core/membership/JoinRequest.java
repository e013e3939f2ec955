package org.sardineport.core.membership;

import java.util.Objects;

/**
 * Asks a daemon for the members that it knows.
 *
 * @param news news of the sender
 */
public record JoinRequest(News news) implements MembershipMessage {

	/**
	 * Creates the message.
	 */
	public JoinRequest {
		Objects.requireNonNull(news, "news must not be null");
	}

}
