package org.sardineport.daemon.journal;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.FleetView;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;

/**
 * Fleet view with members set by the test. It does not notify listeners.
 */
final class FakeFleet implements FleetView {

	private final Map<DaemonId, MemberStatus> members = new TreeMap<>();

	synchronized void set(DaemonId daemon, MemberStatus status) {
		this.members.put(daemon, status);
	}

	@Override
	public synchronized FleetSnapshot current() {
		List<Member> snapshot = new ArrayList<>();
		this.members.forEach((daemon, status) -> snapshot.add(new Member(daemon, 1, status, FailureDomain.of("fd"),
				NetworkAddress.of("127.0.0.1", 1), NetworkAddress.of("127.0.0.1", 2), 0, 0)));
		return new FleetSnapshot(DaemonId.of("any"), snapshot, List.of());
	}

	@Override
	public void addListener(Consumer<FleetSnapshot> listener) {
	}

}
