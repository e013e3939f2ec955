package org.sardineport.daemon.rollout;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.FleetView;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;

/**
 * View of one daemon on a fleet that the test sets. Thread-safe.
 */
final class SimulatedFleet implements FleetView {

	private volatile FleetSnapshot snapshot;

	private volatile Consumer<FleetSnapshot> listener = (ignored) -> {
	};

	SimulatedFleet(DaemonId self) {
		this.snapshot = new FleetSnapshot(self, List.of(), List.of());
	}

	void set(Map<DaemonId, NetworkAddress> daemons, List<BackendServer> servers) {
		List<Member> members = daemons.entrySet()
			.stream()
			.map((entry) -> new Member(entry.getKey(), 1, MemberStatus.ALIVE, FailureDomain.of("a"), entry.getValue(),
					entry.getValue(), 1, 0))
			.toList();
		this.snapshot = new FleetSnapshot(this.snapshot.self(), members, servers);
		this.listener.accept(this.snapshot);
	}

	@Override
	public FleetSnapshot current() {
		return this.snapshot;
	}

	@Override
	public void addListener(Consumer<FleetSnapshot> added) {
		this.listener = added;
	}

}
