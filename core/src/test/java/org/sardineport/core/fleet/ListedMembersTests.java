package org.sardineport.core.fleet;

import java.time.Instant;
import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.port.platform.VmListing;
import org.sardineport.core.port.platform.VmState;

import static org.assertj.core.api.Assertions.assertThat;

class ListedMembersTests {

	private static final NetworkAddress ADDRESS = NetworkAddress.of("10.0.0.1", 7000);

	@ParameterizedTest(name = "{0} on a {1} VM, started at {2}, listed as of 100: {3}")
	@CsvSource({ "ALIVE, LEAVING, 50, LEAVING", "ALIVE, LIVE, 50, ALIVE", "ALIVE, LEAVING, 101, ALIVE",
			"SUSPECT, LEAVING, 50, SUSPECT", "DEAD, LEAVING, 50, DEAD" })
	void appliesListedVmStateToMemberStatus(MemberStatus status, VmState state, long incarnation,
			MemberStatus expected) {
		Member member = new Member(DaemonId.of("one"), incarnation, status, FailureDomain.of("bole"), ADDRESS, ADDRESS,
				0, 0);
		VmListing listing = new VmListing(Instant.ofEpochMilli(100), List.of(new VmListing.EntryVm(ADDRESS, state)),
				List.of());
		assertThat(ListedMembers.apply(List.of(member), listing)).singleElement()
			.extracting(Member::status)
			.isEqualTo(expected);
	}

}
