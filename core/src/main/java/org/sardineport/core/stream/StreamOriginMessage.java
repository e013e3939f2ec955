package org.sardineport.core.stream;

import org.sardineport.core.port.peer.PeerMessage;

/**
 * Message between daemons about the origin of a stream.
 */
public sealed interface StreamOriginMessage extends PeerMessage
		permits OriginReport, OriginQuery, OriginReply, OriginStorageRequest {

	/**
	 * Returns the key that the message is about.
	 * @return the key
	 */
	StreamKey key();

}
