package org.sardineport.core.membership;

import org.sardineport.core.port.peer.PeerMessage;

/**
 * A message by which daemons learn of each other. Each one carries news.
 */
public sealed interface MembershipMessage extends PeerMessage
		permits ProbeRequest, ProbeResponse, IndirectProbeRequest, JoinRequest, JoinResponse {

	/**
	 * Returns the news that travel with the message.
	 * @return the news; the first member is the sender itself
	 */
	News news();

}
