package org.sardineport.core.configuration;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigurationDistributionTests {

	private static final int LARGE_FLEET = 3300;

	private static final int LARGE_DOMAINS = 18;

	private static List<Member> members(int size, int domains) {
		List<Member> members = new ArrayList<>();
		for (int i = 0; i < size; i++) {
			NetworkAddress address = NetworkAddress.of("127.0.0.1", 1 + i);
			members.add(new Member(DaemonId.of("daemon-%05d".formatted(i)), 1, MemberStatus.ALIVE,
					FailureDomain.of("domain-" + i % domains), address, address, 0, 0));
		}
		return members;
	}

	private static FleetSnapshot view(Member self, List<Member> members) {
		return new FleetSnapshot(self.id(), members, List.of());
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3, 4, 8, 50, 183 })
	void announcementOfOneReaderReachesWholeFailureDomain(int size) {
		List<Member> members = members(size, 1);
		Set<Member> reached = new HashSet<>();
		Deque<Member> next = new ArrayDeque<>(List.of(members.get(0)));
		while (!next.isEmpty()) {
			Member member = next.poll();
			if (reached.add(member)) {
				next.addAll(ConfigurationDistribution.recipients(view(member, members)));
			}
		}
		assertThat(reached).hasSize(size);
	}

	@Test
	void readersAndAudiencesAreBoundedInLargeFleet() {
		List<Member> members = members(LARGE_FLEET, LARGE_DOMAINS);
		long readers = 0;
		for (Member member : members) {
			FleetSnapshot view = view(member, members);
			readers += ConfigurationDistribution.isReader(view) ? 1 : 0;
			assertThat(ConfigurationDistribution.recipients(view).size())
				.isLessThanOrEqualTo(ConfigurationDistribution.READERS - 1 + ConfigurationDistribution.FAN_OUT);
		}
		assertThat(readers).isEqualTo((long) LARGE_DOMAINS * ConfigurationDistribution.READERS);
	}

	@Test
	void allDaemonsOfSmallFleetAreReaders() {
		List<Member> members = members(8, 3);
		assertThat(members).allMatch((member) -> ConfigurationDistribution.isReader(view(member, members)));
	}

	@Test
	void daemonMissingFromItsOwnViewIsReader() {
		assertThat(ConfigurationDistribution.isReader(new FleetSnapshot(DaemonId.of("new"), List.of(), List.of())))
			.isTrue();
	}

}
