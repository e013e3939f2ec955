package org.sardineport.core.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.identity.PoolName;

import static org.assertj.core.api.Assertions.assertThat;

class OwnerTableTests {

	private static final NetworkAddress ADDRESS = NetworkAddress.of("10.0.0.1", 1);

	private static final int[] PROCESSORS = { 0, 25, 25, 25, 36, 150 };

	private final OwnerTable table = OwnerTable.create();

	private static Member member(int number, int domain, MemberStatus status) {
		return new Member(DaemonId.of("daemon-" + number), 1, status, FailureDomain.of("d" + domain), ADDRESS, ADDRESS,
				0, 0);
	}

	private static List<Member> members(int count) {
		List<Member> members = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			members.add(member(i, i % 5, MemberStatus.ALIVE));
		}
		return members;
	}

	private static List<BackendServer> servers(int count) {
		List<BackendServer> servers = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			servers.add(new BackendServer(BackendServerId.of("server-" + i), BackendKind.MODEL_ENGINE,
					PoolName.of("pool"), FailureDomain.of("d" + i % 6), ADDRESS, 6));
		}
		return servers;
	}

	private void lookUpAll(List<BackendServer> servers, List<Member> members) {
		for (BackendServer server : servers) {
			assertThat(this.table.owner(server, members)).isEqualTo(Ownership.owner(server, members).map(Member::id));
		}
	}

	@Test
	void ownersAreThoseOfRendezvousHashingWhateverChanges() {
		SplittableRandom random = new SplittableRandom(5);
		List<BackendServer> servers = servers(40);
		List<Member> members = members(12);
		for (int change = 0; change < 300; change++) {
			members = new ArrayList<>(members);
			int changed = random.nextInt(members.size());
			MemberStatus[] statuses = MemberStatus.values();
			members.set(changed, member(changed, random.nextInt(5), statuses[random.nextInt(statuses.length)]));
			int from = random.nextInt(servers.size());
			lookUpAll(servers.subList(from, servers.size()), members);
		}
	}

	// Daemons of unlike processors join, leave, and do not all state theirs at times.
	@Test
	void ownersAreThoseOfOwnershipWhateverProcessorsChange() {
		SplittableRandom random = new SplittableRandom(7);
		List<BackendServer> servers = plainServers(40);
		List<Member> members = members(12).stream().map((member) -> member.withProcessorPercent(25)).toList();
		for (int change = 0; change < 300; change++) {
			members = new ArrayList<>(members);
			int changed = random.nextInt(members.size());
			MemberStatus[] statuses = MemberStatus.values();
			members.set(changed, member(changed, random.nextInt(5), statuses[random.nextInt(statuses.length)])
				.withProcessorPercent(PROCESSORS[random.nextInt(PROCESSORS.length)]));
			int from = random.nextInt(servers.size());
			lookUpAll(servers.subList(from, servers.size()), members);
		}
	}

	private static List<BackendServer> plainServers(int count) {
		List<BackendServer> servers = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			servers.add(new BackendServer(BackendServerId.of("server-" + i), BackendKind.PLAIN_SERVICE,
					PoolName.of("pool"), FailureDomain.of("d" + i % 6), ADDRESS, 6));
		}
		return servers;
	}

	@Test
	void nobodyOwnsAServerWithoutEligibleDaemons() {
		List<BackendServer> servers = servers(3);
		lookUpAll(servers, List.of());
		lookUpAll(servers, List.of(member(1, 1, MemberStatus.SUSPECT)));
		lookUpAll(servers, members(4));
	}

	// Load pattern: daemons of a large fleet are suspected and cleared many times a
	// second.
	// Each time every server was compared with every daemon.
	@Test
	void changeOfOneDaemonDoesNotCostTheProductOfServersAndDaemons() {
		int servers = 61;
		int daemons = 95;
		lookUpAll(servers(servers), members(daemons));
		long before = this.table.comparisons();
		for (int change = 0; change < 100; change++) {
			List<Member> members = members(daemons);
			if (change % 2 == 0) {
				members.remove(change % daemons);
			}
			lookUpAll(servers(servers), members);
		}
		long perChange = (this.table.comparisons() - before) / 100;
		assertThat(perChange).isLessThan(3L * (servers + daemons)).isLessThan((long) servers * daemons / 10);
	}

}
