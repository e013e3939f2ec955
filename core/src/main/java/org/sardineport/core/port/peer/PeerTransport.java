package org.sardineport.core.port.peer;

import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.lifecycle.Service;

/**
 * Carries messages between daemons, at most once each, without order between messages and
 * without a report of loss. Safe for use by any thread.
 */
public interface PeerTransport extends Service {

	/**
	 * Adds a listener for all messages of a type. Called before the start.
	 * @param type type of the messages, or an interface that they implement
	 * @param listener hears them
	 */
	void listen(Class<? extends PeerMessage> type, PeerListener listener);

	/**
	 * Sends a message. Returns at once; the message is dropped and counted if it cannot
	 * be sent.
	 * @param to peer address of the receiver
	 * @param message the message
	 */
	void send(NetworkAddress to, PeerMessage message);

}
