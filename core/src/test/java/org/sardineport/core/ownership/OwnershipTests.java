package org.sardineport.core.ownership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
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
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Guards against daemons that compute different owners from equal memberships, and
 * against reassignments that a change of the membership does not require.
 */
class OwnershipTests {

	private static final List<String> DOMAINS = List.of("bole", "kaliti", "piassa");

	private static Member member(int number, MemberStatus status) {
		NetworkAddress address = NetworkAddress.of("10.0.0.1", 1 + number);
		return new Member(DaemonId.of("daemon-" + number), 1, status, FailureDomain.of(DOMAINS.get(number % 3)),
				address, address, 0, 0);
	}

	private static List<Member> members(int count) {
		List<Member> members = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			members.add(member(i, MemberStatus.ALIVE));
		}
		return members;
	}

	private static BackendServer server(int number) {
		return new BackendServer(BackendServerId.of("worker-" + number), BackendKind.MODEL_ENGINE,
				PoolName.of("dictionary"), FailureDomain.of(DOMAINS.get(number % 3)),
				NetworkAddress.of("10.0.1.1", 1 + number), 8);
	}

	private static Map<Integer, DaemonId> owners(int servers, List<Member> members) {
		Map<Integer, DaemonId> owners = new HashMap<>();
		for (int i = 0; i < servers; i++) {
			owners.put(i, Ownership.owner(server(i), members).orElseThrow().id());
		}
		return owners;
	}

	@Test
	void doesNotDependOnTheOrderOfMembers() {
		List<Member> members = members(8);
		List<Member> shuffled = new ArrayList<>(members);
		Collections.shuffle(shuffled, new Random(1));
		assertThat(owners(100, shuffled)).isEqualTo(owners(100, members));
	}

	@Test
	void prefersTheFailureDomainOfTheBackendServer() {
		List<Member> members = members(8);
		for (int i = 0; i < 100; i++) {
			Member owner = Ownership.owner(server(i), members).orElseThrow();
			assertThat(owner.failureDomain()).isEqualTo(server(i).failureDomain());
		}
	}

	private static BackendServer plainServer(int number) {
		return new BackendServer(BackendServerId.of("worker-" + number), BackendKind.PLAIN_SERVICE,
				PoolName.of("dictionary"), FailureDomain.of(DOMAINS.get(number % 3)),
				NetworkAddress.of("10.0.1.1", 1 + number), 8);
	}

	// 30 daemons, two in each failure domain with six times the processor of the others.
	private static List<Member> unlikeMembers() {
		return members(30).stream()
			.map((member) -> member.withProcessorPercent((member.peerAddress().port() <= 6) ? 150 : 25))
			.toList();
	}

	// SHORT: the permits of a busy backend server were granted by a VM of a quarter core.
	@Test
	void serversWithShortRunsBelongToDaemonsWithMuchProcessorTime() {
		for (int i = 0; i < 100; i++) {
			Member owner = Ownership.owner(plainServer(i), unlikeMembers()).orElseThrow();
			assertThat(owner.processorPercent()).isEqualTo(150);
			assertThat(owner.failureDomain()).isEqualTo(plainServer(i).failureDomain());
		}
	}

	@Test
	void otherServersAreSpreadOverAllDaemons() {
		assertThat(owners(100, unlikeMembers())).isEqualTo(owners(100, members(30)));
	}

	@Test
	void limitsBelongToDaemonsWithMuchProcessorTime() {
		for (int i = 0; i < 100; i++) {
			assertThat(Ownership.ownerOfKey("organisation-" + i, unlikeMembers()).orElseThrow().processorPercent())
				.isEqualTo(150);
		}
	}

	// A daemon of an earlier version states nothing, and knows nothing of the rule.
	@Test
	void processorsDoNotCountUntilAllDaemonsStateTheirs() {
		List<Member> mixed = new ArrayList<>(unlikeMembers());
		mixed.set(20, mixed.get(20).withProcessorPercent(0));
		for (int i = 0; i < 100; i++) {
			assertThat(Ownership.owner(plainServer(i), mixed).orElseThrow().id())
				.isEqualTo(Ownership.owner(server(i), members(30)).orElseThrow().id());
		}
	}

	@Test
	void smallDaemonsTakeOverIfTheLargeOnesOfADomainLeave() {
		List<Member> left = unlikeMembers().stream()
			.map((member) -> (member.processorPercent() > 25) ? member.withStatus(MemberStatus.LEAVING) : member)
			.toList();
		assertThat(Ownership.owner(plainServer(0), left).orElseThrow().processorPercent()).isEqualTo(25);
	}

	@Test
	void fallsBackToOtherFailureDomains() {
		List<Member> elsewhere = members(8).stream()
			.filter((member) -> !member.failureDomain().value().equals("bole"))
			.toList();
		assertThat(Ownership.owner(server(0), elsewhere)).isPresent();
	}

	@ParameterizedTest
	@EnumSource(value = MemberStatus.class, names = "ALIVE", mode = EnumSource.Mode.EXCLUDE)
	void ignoresIneligibleMembers(MemberStatus status) {
		assertThat(Ownership.owner(server(0), List.of(member(0, status)))).isEmpty();
		assertThat(Ownership.ownerOfKey("quota", List.of(member(0, status)))).isEmpty();
	}

	@Test
	void removingAMemberReassignsOnlyItsBackendServers() {
		List<Member> before = members(9);
		List<Member> after = before.subList(0, 8);
		DaemonId removed = before.get(8).id();
		Map<Integer, DaemonId> ownersBefore = owners(900, before);
		Map<Integer, DaemonId> ownersAfter = owners(900, after);
		ownersBefore.forEach((server, owner) -> {
			if (!owner.equals(removed)) {
				assertThat(ownersAfter.get(server)).isEqualTo(owner);
			}
		});
	}

	@Test
	void spreadsBackendServersEvenly() {
		Map<DaemonId, Integer> counts = new HashMap<>();
		owners(9_000, members(9)).values().forEach((owner) -> counts.merge(owner, 1, Integer::sum));
		assertThat(counts.values()).allMatch((count) -> count > 800 && count < 1_200);
	}

	@Test
	void successorsBeginWithTheOwner() {
		List<Member> members = members(8);
		List<Member> successors = Ownership.successors(server(4), members, 3);
		assertThat(successors).hasSize(3).doesNotHaveDuplicates();
		assertThat(successors.get(0)).isEqualTo(Ownership.owner(server(4), members).orElseThrow());
		List<Member> withoutOwner = members.stream().filter((member) -> !member.equals(successors.get(0))).toList();
		assertThat(Ownership.owner(server(4), withoutOwner)).contains(successors.get(1));
	}

	@Test
	void rejectsMaximumBelowOne() {
		assertThatIllegalArgumentException().isThrownBy(() -> Ownership.successors(server(0), members(1), 0));
	}

}
