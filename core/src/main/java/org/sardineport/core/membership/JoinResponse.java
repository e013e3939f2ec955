package org.sardineport.core.membership;

import java.util.Objects;

/**
 * Answers a daemon that joins. A view too large for one message comes in several.
 *
 * @param news news of the sender
 */
public record JoinResponse(News news) implements MembershipMessage {

	/**
	 * Creates the message.
	 */
	public JoinResponse {
		Objects.requireNonNull(news, "news must not be null");
	}

}
