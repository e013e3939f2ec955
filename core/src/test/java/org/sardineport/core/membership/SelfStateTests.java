package org.sardineport.core.membership;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;

import static org.assertj.core.api.Assertions.assertThat;

class SelfStateTests {

	private static final NetworkAddress OWN_ADDRESS = NetworkAddress.of("10.0.0.1", 7000);

	private static final NetworkAddress OTHER_ADDRESS = NetworkAddress.of("10.0.0.2", 7000);

	private final SelfState self = new SelfState(member(5, MemberStatus.ALIVE, OWN_ADDRESS));

	private static Member member(long incarnation, MemberStatus status, NetworkAddress address) {
		return new Member(DaemonId.of("self"), incarnation, status, FailureDomain.of("bole"), address, address, 0, 0);
	}

	@ParameterizedTest(name = "{1}@{0} is refuted as {2}")
	@CsvSource({ "5, SUSPECT, 6", "5, DEAD, 6", "9, SUSPECT, 10", "9, ALIVE, 10", "5, LEAVING, 6" })
	void refutesWrongUpdate(long incarnation, MemberStatus status, long expected) {
		assertThat(this.self.apply(member(incarnation, status, OWN_ADDRESS))).isEqualTo(MembershipEvent.REFUTED);
		assertThat(this.self.member().incarnation()).isEqualTo(expected);
		assertThat(this.self.member().status()).isEqualTo(MemberStatus.ALIVE);
	}

	@Test
	void ignoresCorrectOrOutdatedUpdate() {
		assertThat(this.self.apply(member(5, MemberStatus.ALIVE, OWN_ADDRESS))).isNull();
		assertThat(this.self.apply(member(4, MemberStatus.DEAD, OWN_ADDRESS))).isNull();
		assertThat(this.self.member().incarnation()).isEqualTo(5);
	}

	@Test
	void staysLeavingWhenRefuting() {
		this.self.changeStatus(MemberStatus.LEAVING);
		this.self.apply(member(6, MemberStatus.DEAD, OWN_ADDRESS));
		assertThat(this.self.member().status()).isEqualTo(MemberStatus.LEAVING);
		assertThat(this.self.member().incarnation()).isEqualTo(7);
	}

	@Test
	void leavesWhenLaterRunAtOtherAddressUsesItsName() {
		assertThat(this.self.apply(member(9, MemberStatus.ALIVE, OTHER_ADDRESS)))
			.isEqualTo(MembershipEvent.NAME_IN_USE);
		assertThat(this.self.member().status()).isEqualTo(MemberStatus.LEAVING);
		assertThat(this.self.member().incarnation()).isEqualTo(5);
	}

	@Test
	void refutesDeathOfLaterRunAtOtherAddress() {
		assertThat(this.self.apply(member(9, MemberStatus.DEAD, OTHER_ADDRESS))).isEqualTo(MembershipEvent.REFUTED);
		assertThat(this.self.member().status()).isEqualTo(MemberStatus.ALIVE);
	}

}
