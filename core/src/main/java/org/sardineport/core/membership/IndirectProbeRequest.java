package org.sardineport.core.membership;

import java.util.Objects;

import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.NetworkAddress;

/**
 * Asks a daemon to probe another one on behalf of the sender.
 *
 * @param sequence number that the response repeats
 * @param target the daemon to probe
 * @param targetAddress peer address of the daemon to probe
 * @param updates membership updates from the sender
 */
public record IndirectProbeRequest(long sequence, DaemonId target, NetworkAddress targetAddress,
		GossipUpdates updates) implements MembershipMessage {

	/**
	 * Creates the message.
	 */
	public IndirectProbeRequest {
		Objects.requireNonNull(target, "target must not be null");
		Objects.requireNonNull(targetAddress, "targetAddress must not be null");
		Objects.requireNonNull(updates, "updates must not be null");
	}

}
