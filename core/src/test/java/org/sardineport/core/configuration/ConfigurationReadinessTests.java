package org.sardineport.core.configuration;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigurationReadinessTests {

	private static final DaemonId SELF = DaemonId.of("self");

	private final ConfigurationReadiness readiness = ConfigurationReadiness.create(SELF);

	private static Member member(String name, MemberStatus status, long version) {
		NetworkAddress address = NetworkAddress.of("127.0.0.1", 1);
		return new Member(DaemonId.of(name), 1, status, FailureDomain.of("d"), address, address, version, 0);
	}

	private static List<Member> peers(int count, long version) {
		List<Member> members = new ArrayList<>(List.of(member("self", MemberStatus.ALIVE, -1)));
		for (int i = 0; i < count; i++) {
			members.add(member("peer-" + i, MemberStatus.ALIVE, version));
		}
		return members;
	}

	@Test
	void notReadyBeforeAnythingIsKnown() {
		assertThat(this.readiness.update(-1, peers(0, -1))).isFalse();
	}

	@Test
	void readyAfterTheLogWasReplayed() {
		this.readiness.logAtEnd();
		assertThat(this.readiness.update(4, peers(2, 4))).isTrue();
	}

	@Test
	void notReadyWhileAPeerHasANewerVersionThanTheLog() {
		this.readiness.logAtEnd();
		assertThat(this.readiness.update(4, peers(2, 5))).isFalse();
		assertThat(this.readiness.update(5, peers(2, 5))).isTrue();
	}

	@Test
	void versionsOfDeadDaemonsAreIgnored() {
		this.readiness.logAtEnd();
		assertThat(this.readiness.update(4, List.of(member("peer", MemberStatus.DEAD, 9)))).isTrue();
	}

	@Test
	void readyByPeerConfirmationsOnlyWhileLogIsDown() {
		for (int i = 0; i < ConfigurationReadiness.REQUIRED_CONFIRMATIONS; i++) {
			assertThat(this.readiness.update(4, peers(5, 4))).isFalse();
			this.readiness.peerReported(DaemonId.of("peer-" + i), 4, true);
		}
		assertThat(this.readiness.update(4, peers(5, 4))).as("the log may hold newer records").isFalse();
		this.readiness.logFailed();
		assertThat(this.readiness.update(3, peers(5, 4))).isFalse();
		assertThat(this.readiness.update(4, peers(5, 4))).isTrue();
	}

	@Test
	void peerThatIsNotReadyDoesNotConfirm() {
		this.readiness.logFailed();
		this.readiness.peerReported(DaemonId.of("peer-0"), -1, false);
		assertThat(this.readiness.update(-1, peers(1, -1))).isFalse();
		this.readiness.peerReported(DaemonId.of("peer-0"), 4, true);
		assertThat(this.readiness.update(4, peers(1, 4))).isTrue();
	}

	@Test
	void notReadyWithoutLogAndPeers() {
		this.readiness.logFailed();
		assertThat(this.readiness.update(4, peers(0, -1))).isFalse();
	}

	@Test
	void staysReadyDuringLogOutage() {
		this.readiness.logAtEnd();
		this.readiness.update(4, peers(1, 4));
		this.readiness.logFailed();
		assertThat(this.readiness.update(4, peers(1, 9))).isTrue();
	}

}
