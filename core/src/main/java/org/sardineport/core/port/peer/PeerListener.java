package org.sardineport.core.port.peer;

import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.NetworkAddress;

/**
 * Hears messages of other daemons. Called on a thread of the transport; an implementation
 * hands over to its own thread and returns at once.
 */
public interface PeerListener {

	/**
	 * A message has come. Its sender is authenticated.
	 * @param sender name of the sending daemon
	 * @param incarnation incarnation of the sending daemon
	 * @param senderAddress peer address of the sending daemon
	 * @param message the message
	 */
	void received(DaemonId sender, long incarnation, NetworkAddress senderAddress, PeerMessage message);

}
