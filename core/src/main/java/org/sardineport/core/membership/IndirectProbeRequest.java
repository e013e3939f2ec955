package org.sardineport.core.membership;

import java.util.Objects;

import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.NetworkAddress;

/**
 * Asks a daemon to probe another on the sender's behalf.
 *
 * @param sequence number that the answer repeats
 * @param target the daemon to probe
 * @param targetAddress where it is reached
 * @param news news of the sender
 */
public record IndirectProbeRequest(long sequence, DaemonId target, NetworkAddress targetAddress,
		News news) implements MembershipMessage {

	/**
	 * Creates the message.
	 */
	public IndirectProbeRequest {
		Objects.requireNonNull(target, "target must not be null");
		Objects.requireNonNull(targetAddress, "targetAddress must not be null");
		Objects.requireNonNull(news, "news must not be null");
	}

}
