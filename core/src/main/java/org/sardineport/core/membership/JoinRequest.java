package org.sardineport.core.membership;

import java.util.Objects;

/**
 * Asks a daemon for members that it knows.
 *
 * @param complete whether all members are wanted, in several answers; otherwise a sample
 * @param news news of the sender
 */
public record JoinRequest(boolean complete, News news) implements MembershipMessage {

	/**
	 * Creates the message.
	 */
	public JoinRequest {
		Objects.requireNonNull(news, "news must not be null");
	}

}
