package org.sardineport.wire.transport;

import java.time.InstantSource;
import java.util.List;

import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.port.peer.PeerMessage;

/**
 * Tells how large the frames of messages are, for capacity planning. Not safe for use by
 * several threads.
 */
public final class FrameSizes {

	private final FrameCodec codec;

	private FrameSizes(FrameCodec codec) {
		this.codec = codec;
	}

	/**
	 * Returns the sizes of frames that a daemon would send.
	 * @param identity the daemon
	 * @param codecs translate the messages
	 * @param clock the clock
	 * @return the sizes
	 */
	public static FrameSizes of(PeerIdentity identity, List<PeerCodec<?>> codecs, InstantSource clock) {
		return new FrameSizes(FrameCodec.create(identity, CodecRegistry.of(codecs), clock));
	}

	/**
	 * Returns the size of a message's frame.
	 * @param to the receiver
	 * @param message the message
	 * @return bytes without the headers of IP and UDP
	 * @throws IllegalArgumentException if the message is too large for a frame
	 */
	public int bytes(NetworkAddress to, PeerMessage message) {
		try {
			return this.codec.encode(to, message).length;
		}
		catch (FrameDroppedException ex) {
			throw new IllegalArgumentException("message must fit into a frame", ex);
		}
	}

}
