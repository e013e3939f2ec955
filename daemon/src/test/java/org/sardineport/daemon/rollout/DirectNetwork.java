package org.sardineport.daemon.rollout;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;

import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.port.peer.PeerListener;
import org.sardineport.core.port.peer.PeerMessage;
import org.sardineport.core.port.peer.PeerTransport;

/**
 * Transports that deliver each message at once, unless one side is cut off. Thread-safe.
 */
final class DirectNetwork {

	private final Map<NetworkAddress, Endpoint> endpoints = new ConcurrentHashMap<>();

	Endpoint endpoint(DaemonId daemon, NetworkAddress address) {
		return this.endpoints.computeIfAbsent(address, (key) -> new Endpoint(daemon, address));
	}

	/**
	 * Transport of one daemon.
	 */
	final class Endpoint implements PeerTransport {

		private final DaemonId daemon;

		private final NetworkAddress address;

		private volatile PeerListener listener = (sender, incarnation, from, message) -> {
		};

		private volatile boolean cutOff;

		private Endpoint(DaemonId daemon, NetworkAddress address) {
			this.daemon = daemon;
			this.address = address;
		}

		void cutOff() {
			this.cutOff = true;
		}

		@Override
		public void listen(Class<? extends PeerMessage> type, PeerListener added) {
			this.listener = added;
		}

		@Override
		public void send(NetworkAddress to, PeerMessage message) {
			Endpoint receiver = DirectNetwork.this.endpoints.get(to);
			if (receiver != null && !this.cutOff && !receiver.cutOff) {
				receiver.listener.received(this.daemon, 1, this.address, message);
			}
		}

		@Override
		public CompletionStage<Void> start() {
			return CompletableFuture.completedStage(null);
		}

		@Override
		public CompletionStage<Void> stop() {
			return CompletableFuture.completedStage(null);
		}

	}

}
