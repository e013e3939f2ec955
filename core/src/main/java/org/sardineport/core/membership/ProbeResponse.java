package org.sardineport.core.membership;

import java.util.Objects;

/**
 * Answers a probe, direct or on behalf of another daemon.
 *
 * @param sequence number of the probe
 * @param news news of the sender
 */
public record ProbeResponse(long sequence, News news) implements MembershipMessage {

	/**
	 * Creates the message.
	 */
	public ProbeResponse {
		Objects.requireNonNull(news, "news must not be null");
	}

}
