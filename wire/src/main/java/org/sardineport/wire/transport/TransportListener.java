package org.sardineport.wire.transport;

import org.sardineport.core.identity.DaemonId;

/**
 * Hears what passes through a transport, to count it. Called on the transport's thread
 * and, for a full send queue, on the sender's; returns at once.
 */
public interface TransportListener {

	/** Counts nothing. */
	TransportListener NONE = new TransportListener() {

		@Override
		public void sent(int bytes) {
		}

		@Override
		public void received(int bytes) {
		}

		@Override
		public void dropped(DropReason reason) {
		}

		@Override
		public void listenerFailed(DaemonId sender, RuntimeException cause) {
		}

	};

	/**
	 * A frame was sent.
	 * @param bytes its size without the headers of IP and UDP
	 */
	void sent(int bytes);

	/**
	 * A frame was received and accepted.
	 * @param bytes its size without the headers of IP and UDP
	 */
	void received(int bytes);

	/**
	 * A frame or message was dropped.
	 * @param reason why
	 */
	void dropped(DropReason reason);

	/**
	 * A message was dropped as whoever listens for it failed.
	 * @param sender the daemon that sent it
	 * @param cause the failure
	 */
	void listenerFailed(DaemonId sender, RuntimeException cause);

}
