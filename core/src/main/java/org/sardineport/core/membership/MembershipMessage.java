package org.sardineport.core.membership;

import org.sardineport.core.port.peer.PeerMessage;

/**
 * A message of the membership protocol. Each one carries membership updates.
 */
public sealed interface MembershipMessage extends PeerMessage
		permits ProbeRequest, ProbeResponse, IndirectProbeRequest, JoinRequest, JoinResponse {

	/**
	 * Returns the updates that travel with the message.
	 * @return the updates; the first member is the sender itself
	 */
	GossipUpdates updates();

}
