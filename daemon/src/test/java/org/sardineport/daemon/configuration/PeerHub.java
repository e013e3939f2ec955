package org.sardineport.daemon.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.FleetView;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.port.peer.PeerListener;
import org.sardineport.core.port.peer.PeerMessage;
import org.sardineport.core.port.peer.PeerTransport;

/**
 * Connects the transports of several daemons in one process. A disconnected daemon
 * neither sends nor receives messages.
 */
final class PeerHub {

	private final Map<NetworkAddress, PeerListener> listeners = new ConcurrentHashMap<>();

	private final Map<DaemonId, Long> versions = new ConcurrentHashMap<>();

	private final Set<NetworkAddress> disconnected = ConcurrentHashMap.newKeySet();

	private final List<DaemonId> daemons = new ArrayList<>();

	PeerHub(int size) {
		for (int i = 0; i < size; i++) {
			this.daemons.add(DaemonId.of("daemon-" + i));
		}
	}

	void setDisconnected(int daemon, boolean active) {
		if (active) {
			this.disconnected.add(address(daemon));
		}
		else {
			this.disconnected.remove(address(daemon));
		}
	}

	void setVersion(int daemon, long version) {
		this.versions.put(this.daemons.get(daemon), version);
	}

	FleetView view(int self) {
		return new FleetView() {

			@Override
			public FleetSnapshot current() {
				return snapshot(self);
			}

			@Override
			public void addListener(Consumer<FleetSnapshot> listener) {
			}

		};
	}

	PeerTransport transport(int self) {
		return new PeerTransport() {

			@Override
			public void listen(Class<? extends PeerMessage> type, PeerListener listener) {
				PeerHub.this.listeners.put(address(self), listener);
			}

			@Override
			public void send(NetworkAddress to, PeerMessage message) {
				PeerListener listener = PeerHub.this.listeners.get(to);
				if (listener != null && !isDisconnected(self) && !PeerHub.this.disconnected.contains(to)) {
					listener.received(PeerHub.this.daemons.get(self), 1, address(self), message);
				}
			}

			@Override
			public CompletionStage<Void> start() {
				return CompletableFuture.completedFuture(null);
			}

			@Override
			public CompletionStage<Void> stop() {
				return CompletableFuture.completedFuture(null);
			}

		};
	}

	private boolean isDisconnected(int daemon) {
		return this.disconnected.contains(address(daemon));
	}

	private FleetSnapshot snapshot(int self) {
		List<Member> members = new ArrayList<>();
		for (int i = 0; i < this.daemons.size(); i++) {
			boolean known = i == self || (!isDisconnected(self) && !isDisconnected(i));
			long version = this.versions.getOrDefault(this.daemons.get(i), -1L);
			members.add(new Member(this.daemons.get(i), 1, known ? MemberStatus.ALIVE : MemberStatus.DEAD,
					FailureDomain.of("domain"), address(i), address(i), known ? version : -1, 0));
		}
		return new FleetSnapshot(this.daemons.get(self), members, List.of());
	}

	private static NetworkAddress address(int daemon) {
		return NetworkAddress.of("127.0.0.1", 1000 + daemon);
	}

}
