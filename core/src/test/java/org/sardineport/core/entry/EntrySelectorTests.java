package org.sardineport.core.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.sardineport.core.configuration.ConfigurationSnapshot;
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against callers that are sent to unavailable daemons or all to the same ones.
 */
class EntrySelectorTests {

	private static final List<String> DOMAINS = List.of("lalitpur", "baneshwor", "bhaktapur");

	private static final Duration KEEP_TIME = Duration.ofSeconds(10);

	private final EntrySelector selector = EntrySelector.create(KEEP_TIME, new Random(42));

	private static Member member(int number, MemberStatus status, long version, int load) {
		return new Member(DaemonId.of("daemon-" + number), 1, status, FailureDomain.of(DOMAINS.get(number % 3)),
				NetworkAddress.of("10.0.0.1", 1 + number), NetworkAddress.of("10.0.0.2", 1 + number), version, load);
	}

	private static FleetSnapshot fleet(List<Member> members) {
		return new FleetSnapshot(DaemonId.of("daemon-0"), members, List.of());
	}

	private static List<Member> eightMembers() {
		List<Member> members = new ArrayList<>();
		for (int i = 0; i < 8; i++) {
			members.add(member(i, MemberStatus.ALIVE, 5, 0));
		}
		return members;
	}

	private static String domain(NetworkAddress callerAddress) {
		return DOMAINS.get((callerAddress.port() - 1) % 3);
	}

	@Test
	void selectsAddressesInDifferentFailureDomains() {
		for (int i = 0; i < 100; i++) {
			EntryResponse answer = this.selector.select(fleet(eightMembers()));
			assertThat(answer.keepTime()).isEqualTo(KEEP_TIME);
			assertThat(answer.addresses()).hasSize(4).doesNotHaveDuplicates();
			assertThat(answer.addresses().subList(0, 3)).extracting(EntrySelectorTests::domain).doesNotHaveDuplicates();
		}
	}

	@ParameterizedTest
	@EnumSource(value = MemberStatus.class, names = "ALIVE", mode = EnumSource.Mode.EXCLUDE)
	void neverSelectsADaemonWithStatus(MemberStatus status) {
		List<Member> members = eightMembers();
		members.set(2, member(2, status, 5, 0));
		for (int i = 0; i < 200; i++) {
			assertThat(this.selector.select(fleet(members)).addresses()).doesNotContain(members.get(2).callerAddress());
		}
		assertThat(this.selector.select(fleet(List.of(members.get(2)))).addresses()).isEmpty();
	}

	@Test
	void skipsDaemonsWithoutConfigurationWhileOthersHaveOne() {
		List<Member> members = eightMembers();
		members.set(2, member(2, MemberStatus.ALIVE, ConfigurationSnapshot.NO_VERSION, 0));
		for (int i = 0; i < 200; i++) {
			assertThat(this.selector.select(fleet(members)).addresses()).doesNotContain(members.get(2).callerAddress());
		}
	}

	@Test
	void selectsDaemonsBeforeTheFirstPublication() {
		List<Member> members = List.of(member(0, MemberStatus.ALIVE, ConfigurationSnapshot.NO_VERSION, 0));
		assertThat(this.selector.select(fleet(members)).addresses()).hasSize(1);
	}

	@Test
	void spreadsFirstAddressesByFreeCapacity() {
		List<Member> members = eightMembers();
		members.set(0, member(0, MemberStatus.ALIVE, 5, 75));
		Map<NetworkAddress, Integer> first = new HashMap<>();
		int selections = 7_250;
		for (int i = 0; i < selections; i++) {
			first.merge(this.selector.select(fleet(members)).addresses().get(0), 1, Integer::sum);
		}
		assertThat(first.get(members.get(0).callerAddress())).isBetween(180, 320);
		for (Member idle : members.subList(1, 8)) {
			assertThat(first.get(idle.callerAddress())).isBetween(850, 1_150);
		}
	}

	@Test
	void selectsDaemonsWhenAllAreFull() {
		List<Member> members = new ArrayList<>();
		for (int i = 0; i < 8; i++) {
			members.add(member(i, MemberStatus.ALIVE, 5, 100));
		}
		assertThat(this.selector.select(fleet(members)).addresses()).hasSize(4);
	}

}
