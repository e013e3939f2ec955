package org.sardineport.daemon.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.time.InstantSource;
import java.util.List;

import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.port.peer.PeerTransport;
import org.sardineport.wire.transport.MembershipCodec;
import org.sardineport.wire.transport.NettyPeerTransport;
import org.sardineport.wire.transport.PeerIdentity;
import org.sardineport.wire.transport.TransportListener;

class NettyPeerTransportTests extends PeerTransportContract {

	private static final List<String> KEYS = List.of("k".repeat(PeerIdentity.MINIMUM_KEY_LENGTH));

	@Override
	NetworkAddress freeAddress() {
		try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
			return NetworkAddress.of("127.0.0.1", socket.getLocalPort());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	@Override
	PeerTransport transport(DaemonId daemon, long incarnation, NetworkAddress address) {
		return NettyPeerTransport.create(new PeerIdentity("test", daemon, incarnation, address, KEYS),
				List.of(MembershipCodec.create()), InstantSource.system(), TransportListener.NONE);
	}

}
