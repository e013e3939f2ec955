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

	private static final NetworkAddress HERE = NetworkAddress.of("10.0.0.1", 7000);

	private static final NetworkAddress ELSEWHERE = NetworkAddress.of("10.0.0.2", 7000);

	private final SelfState self = new SelfState(member(5, MemberStatus.ALIVE, HERE));

	private static Member member(long incarnation, MemberStatus status, NetworkAddress address) {
		return new Member(DaemonId.of("self"), incarnation, status, FailureDomain.of("bole"), address, address, 0, 0);
	}

	@ParameterizedTest(name = "{1}@{0} is denied as {2}")
	@CsvSource({ "5, SUSPECT, 6", "5, DEAD, 6", "9, SUSPECT, 10", "9, ALIVE, 10", "5, LEAVING, 6" })
	void deniesWhatIsWrong(long incarnation, MemberStatus status, long expected) {
		assertThat(this.self.hear(member(incarnation, status, HERE))).isEqualTo(MembershipEvent.REFUTED);
		assertThat(this.self.member().incarnation()).isEqualTo(expected);
		assertThat(this.self.member().status()).isEqualTo(MemberStatus.ALIVE);
	}

	@Test
	void keepsQuietAboutWhatIsRightOrOld() {
		assertThat(this.self.hear(member(5, MemberStatus.ALIVE, HERE))).isNull();
		assertThat(this.self.hear(member(4, MemberStatus.DEAD, HERE))).isNull();
		assertThat(this.self.member().incarnation()).isEqualTo(5);
	}

	@Test
	void staysLeavingWhenItDenies() {
		this.self.become(MemberStatus.LEAVING);
		this.self.hear(member(6, MemberStatus.DEAD, HERE));
		assertThat(this.self.member().status()).isEqualTo(MemberStatus.LEAVING);
		assertThat(this.self.member().incarnation()).isEqualTo(7);
	}

	@Test
	void givesWayToALaterRunElsewhere() {
		assertThat(this.self.hear(member(9, MemberStatus.ALIVE, ELSEWHERE))).isEqualTo(MembershipEvent.NAME_IN_USE);
		assertThat(this.self.member().status()).isEqualTo(MemberStatus.LEAVING);
		assertThat(this.self.member().incarnation()).isEqualTo(5);
	}

	@Test
	void takesThePlaceOfADeadRunElsewhere() {
		assertThat(this.self.hear(member(9, MemberStatus.DEAD, ELSEWHERE))).isEqualTo(MembershipEvent.REFUTED);
		assertThat(this.self.member().status()).isEqualTo(MemberStatus.ALIVE);
	}

}
