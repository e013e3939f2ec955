package org.sardineport.core.membership;

import java.util.Objects;

/**
 * Response to a {@link JoinRequest}. A list of members too long for one message is sent
 * in several.
 *
 * @param news membership updates from the sender
 */
public record JoinResponse(News news) implements MembershipMessage {

	/**
	 * Creates the message.
	 */
	public JoinResponse {
		Objects.requireNonNull(news, "news must not be null");
	}

}
