package org.sardineport.core.membership;

import java.util.Objects;

/**
 * Response to a probe, sent by the target or relayed by the daemon that probed it on
 * behalf of another.
 *
 * @param sequence number of the probe
 * @param news membership updates from the sender
 */
public record ProbeResponse(long sequence, News news) implements MembershipMessage {

	/**
	 * Creates the message.
	 */
	public ProbeResponse {
		Objects.requireNonNull(news, "news must not be null");
	}

}
