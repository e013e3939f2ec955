package org.sardineport.core.port.peer;

import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.lifecycle.Service;

/**
 * Delivers messages between daemons at most once each, without ordering and without
 * reporting losses. Thread-safe.
 */
public interface PeerTransport extends Service {

	/**
	 * Adds a listener for all messages of a type. Called before the start.
	 * @param type type of the messages, or an interface that they implement
	 * @param listener receives the messages
	 */
	void listen(Class<? extends PeerMessage> type, PeerListener listener);

	/**
	 * Sends a message without blocking. If it cannot be sent, it is dropped and counted.
	 * @param to peer address of the receiver
	 * @param message the message
	 */
	void send(NetworkAddress to, PeerMessage message);

}
