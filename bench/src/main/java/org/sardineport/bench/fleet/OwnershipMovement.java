package org.sardineport.bench.fleet;

import java.util.ArrayList;
import java.util.List;

import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.identity.PoolName;
import org.sardineport.core.ownership.Ownership;

/**
 * Number of backend servers that change their owner when one daemon is removed.
 *
 * @param ownedByRemoved number of backend servers that the removed daemon owned
 * @param moved number of backend servers whose owner changed
 */
record OwnershipMovement(int ownedByRemoved, int moved) {

	static OwnershipMovement measure(int daemons, int servers, List<String> domains) {
		List<Member> before = new ArrayList<>();
		for (int i = 0; i < daemons; i++) {
			before.add(new Member(DaemonId.of("daemon-" + i), 1, MemberStatus.ALIVE,
					FailureDomain.of(domains.get(i % domains.size())), address(i), address(i), 0, 0));
		}
		Member removed = before.get(daemons / 2);
		List<Member> after = before.stream().filter((member) -> member != removed).toList();
		int ownedByRemoved = 0;
		int moved = 0;
		for (int i = 0; i < servers; i++) {
			BackendServer server = new BackendServer(BackendServerId.of("worker-" + i), BackendKind.MODEL_ENGINE,
					PoolName.of("model"), FailureDomain.of(domains.get(i % domains.size())), address(i), 8);
			Member owner = Ownership.owner(server, before).orElseThrow();
			ownedByRemoved += (owner == removed) ? 1 : 0;
			moved += owner.equals(Ownership.owner(server, after).orElseThrow()) ? 0 : 1;
		}
		return new OwnershipMovement(ownedByRemoved, moved);
	}

	private static NetworkAddress address(int number) {
		return NetworkAddress.of("10.1.%d.%d".formatted(number / 250, 1 + number % 250), 7000);
	}

}
