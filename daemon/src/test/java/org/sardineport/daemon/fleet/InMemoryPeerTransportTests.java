package org.sardineport.daemon.fleet;

import java.time.InstantSource;
import java.util.Random;

import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.port.peer.PeerTransport;
import org.sardineport.standins.peer.InMemoryPeerNetwork;
import org.sardineport.standins.peer.NetworkConditions;

class InMemoryPeerTransportTests extends PeerTransportContract {

	private final InMemoryPeerNetwork network = InMemoryPeerNetwork.create(InstantSource.system(), new Random(1),
			NetworkConditions.PERFECT);

	private int nextPort = 1;

	@Override
	NetworkAddress freeAddress() {
		return NetworkAddress.of("127.0.0.1", this.nextPort++);
	}

	@Override
	PeerTransport transport(DaemonId daemon, long incarnation, NetworkAddress address) {
		return this.network.transport(daemon, incarnation, address);
	}

}
