package org.sardineport.core.stream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Test;
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.identity.OrganisationId;

import static org.assertj.core.api.Assertions.assertThat;

class OriginReplicasTests {

	private static final List<String> DOMAINS = List.of("bole", "kaliti", "piassa");

	private static Member member(int number, MemberStatus status) {
		NetworkAddress address = NetworkAddress.of("10.0.0.1", 1 + number);
		return new Member(DaemonId.of("daemon-" + number), 1, status, FailureDomain.of(DOMAINS.get(number % 3)),
				address, address, 0, 0);
	}

	private static FleetSnapshot fleet(int daemons, int self) {
		List<Member> members = new ArrayList<>();
		for (int i = 0; i < daemons; i++) {
			members.add(member(i, MemberStatus.ALIVE));
		}
		return new FleetSnapshot(DaemonId.of("daemon-" + self), members, List.of());
	}

	private static StreamKey key(int number) {
		return StreamKey.of(OrganisationId.of("o"), "id-" + number);
	}

	// The loss of a failure domain must not take all that is known of a stream with it.
	@Test
	void spreadsOverFailureDomains() {
		FleetSnapshot fleet = fleet(30, 0);
		for (int i = 0; i < 200; i++) {
			Set<FailureDomain> domains = OriginReplicas.told(key(i), fleet)
				.stream()
				.map(Member::failureDomain)
				.collect(Collectors.toSet());
			assertThat(domains).hasSizeGreaterThanOrEqualTo(2);
		}
	}

	// Whoever asks must reach the daemons that another one has told.
	@Test
	void daemonsAskedByOneIncludeThoseToldByAnother() {
		FleetSnapshot telling = fleet(88, 3);
		FleetSnapshot asking = fleet(88, 70);
		for (int i = 0; i < 200; i++) {
			Set<Member> asked = new HashSet<>(OriginReplicas.asked(key(i), asking));
			List<Member> told = OriginReplicas.told(key(i), telling)
				.stream()
				.filter((member) -> !member.id().equals(asking.self()))
				.toList();
			assertThat(asked).containsAll(told);
		}
	}

	// A daemon that joined must not hide those that were told before.
	@Test
	void aMemberThatJoinsLeavesThoseToldAmongThoseAsked() {
		for (int i = 0; i < 200; i++) {
			List<Member> told = OriginReplicas.told(key(i), fleet(88, 3));
			assertThat(OriginReplicas.asked(key(i), fleet(89, 3))).containsAll(told);
		}
	}

	// Two streams under one id must be known to the same daemons, whoever serves them.
	@Test
	void allDaemonsChooseTheSameOnes() {
		for (int i = 0; i < 200; i++) {
			Set<DaemonId> all = new HashSet<>();
			for (int self = 0; self < 12; self++) {
				OriginReplicas.told(key(i), fleet(12, self)).forEach((member) -> all.add(member.id()));
			}
			assertThat(all).hasSize(OriginReplicas.REPLICAS);
		}
	}

	// A daemon that leaves is told nothing new, but still knows what it was told.
	@Test
	void leavingDaemonIsAskedAndNotTold() {
		FleetSnapshot before = fleet(12, 3);
		Member chosen = OriginReplicas.told(key(1), before).get(0);
		int number = Integer.parseInt(chosen.id().value().substring("daemon-".length()));
		List<Member> members = new ArrayList<>(before.members());
		members.set(number, member(number, MemberStatus.LEAVING));
		FleetSnapshot after = new FleetSnapshot(before.self(), members, List.of());
		assertThat(OriginReplicas.told(key(1), after)).extracting(Member::id).doesNotContain(chosen.id());
		assertThat(OriginReplicas.asked(key(1), after)).extracting(Member::id).contains(chosen.id());
	}

	// No daemon may carry much more than its share.
	@Test
	void spreadsStreamsEvenly() {
		Map<DaemonId, Integer> counts = new HashMap<>();
		FleetSnapshot fleet = fleet(9, 0);
		for (int i = 0; i < 9_000; i++) {
			OriginReplicas.told(key(i), fleet).forEach((member) -> counts.merge(member.id(), 1, Integer::sum));
		}
		assertThat(counts).hasSize(8).doesNotContainKey(fleet.self());
		assertThat(counts.values()).allMatch((count) -> count > 3_500 && count < 5_700);
	}

}
