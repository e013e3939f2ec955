package org.sardineport.core.entry;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.identity.PoolName;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a reported load that does not follow from the daemon's even share.
 */
class EntryLoadTests {

	private static final FailureDomain DOMAIN = FailureDomain.of("bole");

	private static final NetworkAddress ADDRESS = NetworkAddress.of("10.0.0.1", 80);

	private static FleetSnapshot fleet(int daemons, int servers) {
		List<Member> members = new ArrayList<>();
		for (int i = 0; i < daemons; i++) {
			members.add(new Member(DaemonId.of("d" + i), 1, MemberStatus.ALIVE, DOMAIN, ADDRESS, ADDRESS, 0, 0));
		}
		List<BackendServer> backends = new ArrayList<>();
		for (int i = 0; i < servers; i++) {
			backends.add(new BackendServer(BackendServerId.of("w" + i), BackendKind.MODEL_ENGINE, PoolName.of("p"),
					DOMAIN, ADDRESS, 8));
		}
		return new FleetSnapshot(DaemonId.of("d0"), members, backends);
	}

	@ParameterizedTest(name = "{0} in flight, {1} daemons, {2} backend servers: {3}")
	@CsvSource({ "0, 8, 16, 0", "16, 8, 16, 50", "32, 8, 16, 100", "1000, 8, 16, 100", "0, 1, 0, 0", "5, 0, 0, 100" })
	void loadIsRelativeToTheEvenShare(int inFlight, int daemons, int servers, int expected) {
		assertThat(EntryLoad.percent(inFlight, fleet(daemons, servers))).isEqualTo(expected);
	}

}
