package org.sardineport.core.membership;

import java.util.Objects;

/**
 * Asks a daemon whether it is alive.
 *
 * @param sequence number that the answer repeats
 * @param news news of the sender
 */
public record ProbeRequest(long sequence, News news) implements MembershipMessage {

	/**
	 * Creates the message.
	 */
	public ProbeRequest {
		Objects.requireNonNull(news, "news must not be null");
	}

}
