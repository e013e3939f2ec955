package org.sardineport.bench.slope;

import java.time.InstantSource;
import java.util.List;

import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.port.peer.PeerMessage;
import org.sardineport.wire.configuration.ConfigurationPeerCodec;
import org.sardineport.wire.scheduling.SchedulingCodec;
import org.sardineport.wire.transport.FrameSizes;
import org.sardineport.wire.transport.MembershipCodec;
import org.sardineport.wire.transport.PeerIdentity;

/**
 * Computes the size of messages between daemons on the network.
 */
final class FrameMeter {

	/** Headers of IPv4 and UDP. */
	private static final int HEADER_BYTES = 28;

	private static final NetworkAddress ADDRESS = NetworkAddress.of("10.20.30.40", 7000);

	private final FrameSizes frames = FrameSizes.of(
			new PeerIdentity("fleet", DaemonId.of("entry-vm-1234"), 1, ADDRESS, List.of("k".repeat(32))),
			List.of(MembershipCodec.create(), SchedulingCodec.create(), ConfigurationPeerCodec.create()),
			InstantSource.system());

	/**
	 * Returns the size of a message on the network.
	 * @param message the message
	 * @return number of bytes, including the headers of IP and UDP
	 */
	double bytes(PeerMessage message) {
		return HEADER_BYTES + this.frames.bytes(ADDRESS, message);
	}

}
