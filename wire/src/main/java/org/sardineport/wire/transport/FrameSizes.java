package org.sardineport.wire.transport;

import java.time.InstantSource;
import java.util.List;

import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.port.peer.PeerMessage;

/**
 * Computes the sizes of frames for capacity planning. Not thread-safe.
 */
public final class FrameSizes {

	private final FrameCodec codec;

	private FrameSizes(FrameCodec codec) {
		this.codec = codec;
	}

	/**
	 * Creates a calculator for the frames of one daemon.
	 * @param identity identity of the sending daemon
	 * @param codecs codecs of the messages
	 * @param clock source of the frames' timestamps
	 * @return the calculator
	 */
	public static FrameSizes of(PeerIdentity identity, List<PeerCodec<?>> codecs, InstantSource clock) {
		return new FrameSizes(FrameCodec.create(identity, CodecRegistry.of(codecs), clock));
	}

	/**
	 * Returns the size of the frame of a message.
	 * @param to address of the receiver
	 * @param message the message
	 * @return size in bytes, without the headers of IP and UDP
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
