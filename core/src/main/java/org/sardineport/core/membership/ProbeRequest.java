package org.sardineport.core.membership;

import java.util.Objects;

/**
 * Probes a daemon, which replies with a {@link ProbeResponse} if it is alive.
 *
 * @param sequence number that the response repeats
 * @param news membership updates from the sender
 */
public record ProbeRequest(long sequence, News news) implements MembershipMessage {

	/**
	 * Creates the message.
	 */
	public ProbeRequest {
		Objects.requireNonNull(news, "news must not be null");
	}

}
