package org.sardineport.bench.journal;

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
 * View of a fleet whose members the measurement sets. Listeners are not notified; users
 * read the current snapshot. Thread-safe.
 */
final class MutableFleetView implements FleetView {

	private static final NetworkAddress ADDRESS = NetworkAddress.of("127.0.0.1", 1);

	private final Map<DaemonId, MemberStatus> members = new TreeMap<>();

	synchronized void set(DaemonId daemon, MemberStatus status) {
		this.members.put(daemon, status);
	}

	@Override
	public synchronized FleetSnapshot current() {
		List<Member> snapshot = new ArrayList<>();
		this.members.forEach((daemon, status) -> snapshot
			.add(new Member(daemon, 1, status, FailureDomain.of("domain"), ADDRESS, ADDRESS, 0, 0)));
		return new FleetSnapshot(DaemonId.of("observer"), snapshot, List.of());
	}

	@Override
	public void addListener(Consumer<FleetSnapshot> listener) {
	}

}
