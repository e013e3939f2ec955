package org.sardineport.wire.transport;

import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.port.peer.PeerMessage;

/**
 * Receives the events of a transport, for metrics. Methods are called on the transport's
 * thread or, if a message can't be queued, on the sender's thread; they must not block.
 */
public interface TransportListener {

	/** Listener that ignores all events. */
	TransportListener NONE = new TransportListener() {

		@Override
		public void sent(PeerMessage message, int bytes) {
		}

		@Override
		public void received(PeerMessage message, int bytes) {
		}

		@Override
		public void dropped(DropReason reason) {
		}

		@Override
		public void listenerFailed(DaemonId sender, RuntimeException cause) {
		}

	};

	/**
	 * Called when a frame has been sent.
	 * @param message the message in the frame
	 * @param bytes size of the frame, without the headers of IP and UDP
	 */
	void sent(PeerMessage message, int bytes);

	/**
	 * Called when a frame has been received and accepted.
	 * @param message the message in the frame
	 * @param bytes size of the frame, without the headers of IP and UDP
	 */
	void received(PeerMessage message, int bytes);

	/**
	 * Called when a frame or message has been dropped.
	 * @param reason the reason
	 */
	void dropped(DropReason reason);

	/**
	 * Called when a listener threw an exception for a received message.
	 * @param sender the daemon that sent the message
	 * @param cause the exception
	 */
	void listenerFailed(DaemonId sender, RuntimeException cause);

}
