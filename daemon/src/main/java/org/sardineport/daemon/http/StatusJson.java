package org.sardineport.daemon.http;

import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.ownership.Ownership;

/**
 * Status of a daemon and its view of the fleet, as shown to operators.
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
record StatusJson(String daemon, long incarnation, long configurationVersion, boolean ready, List<String> reasons,
		int inFlight, List<MemberJson> members, List<BackendServerJson> backendServers) {

	static StatusJson of(FleetSnapshot fleet, long configurationVersion, List<String> blockers, int inFlight) {
		long incarnation = fleet.member(fleet.self()).map(Member::incarnation).orElse(0L);
		List<Member> eligible = fleet.members().stream().filter((member) -> member.status().isEligible()).toList();
		return new StatusJson(fleet.self().value(), incarnation, configurationVersion, blockers.isEmpty(), blockers,
				inFlight, fleet.members().stream().map(MemberJson::of).toList(),
				fleet.backendServers().stream().map((server) -> BackendServerJson.of(server, eligible)).toList());
	}

	/**
	 * A member of the fleet.
	 */
	record MemberJson(String daemon, long incarnation, String status, String failureDomain, String callerAddress,
			String peerAddress, long configurationVersion, int load) {

		private static MemberJson of(Member member) {
			return new MemberJson(member.id().value(), member.incarnation(),
					member.status().name().toLowerCase(Locale.ROOT), member.failureDomain().value(),
					member.callerAddress().toString(), member.peerAddress().toString(), member.configurationVersion(),
					member.load());
		}

	}

	/**
	 * A backend server and its owner daemon, which is absent if no member is eligible.
	 */
	@JsonInclude(JsonInclude.Include.NON_NULL)
	record BackendServerJson(String id, String pool, String kind, String failureDomain, String address,
			int nominalConcurrency, @Nullable String owner) {

		private static BackendServerJson of(BackendServer server, List<Member> eligible) {
			String owner = Ownership.owner(server, eligible).map((member) -> member.id().value()).orElse(null);
			return new BackendServerJson(server.id().value(), server.pool().value(),
					server.kind().name().toLowerCase(Locale.ROOT), server.failureDomain().value(),
					server.address().toString(), server.nominalConcurrency(), owner);
		}

	}

}
