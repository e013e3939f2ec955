package org.sardineport.wire.transport;

import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.port.peer.PeerMessage;

/**
 * A decoded message with its authenticated sender.
 *
 * @param sender name of the sending daemon
 * @param incarnation number of the sender's run
 * @param senderAddress peer address of the sender
 * @param message the message
 */
record ReceivedMessage(DaemonId sender, long incarnation, NetworkAddress senderAddress, PeerMessage message) {

}
