package org.sardineport.core.port.peer;

import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.NetworkAddress;

/**
 * Receives messages of other daemons. Called on a thread of the transport;
 * implementations must not block and hand messages over to their own thread.
 */
public interface PeerListener {

	/**
	 * Called when a message has been received from an authenticated sender.
	 * @param sender name of the sending daemon
	 * @param incarnation incarnation of the sending daemon
	 * @param senderAddress peer address of the sending daemon
	 * @param message the message
	 */
	void received(DaemonId sender, long incarnation, NetworkAddress senderAddress, PeerMessage message);

}
