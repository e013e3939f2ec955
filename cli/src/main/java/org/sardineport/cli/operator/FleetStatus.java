package org.sardineport.cli.operator;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * What a daemon tells operators of itself and the fleet.
 *
 * @param daemon the daemon that answers
 * @param incarnation grows with each of its starts
 * @param configurationVersion version in force there
 * @param ready whether it may serve
 * @param reasons why it is not ready
 * @param members the daemons that it knows
 * @param backendServers the backend servers that it knows
 */
public record FleetStatus(String daemon, long incarnation, long configurationVersion, boolean ready,
		List<String> reasons, List<MemberStatus> members, List<BackendServerStatus> backendServers) {

	/**
	 * Creates the status; absent lists are empty.
	 */
	public FleetStatus {
		reasons = (reasons != null) ? List.copyOf(reasons) : List.of();
		members = (members != null) ? List.copyOf(members) : List.of();
		backendServers = (backendServers != null) ? List.copyOf(backendServers) : List.of();
	}

	/**
	 * Returns the daemons that are alive and do not report a version yet.
	 * @param version the version
	 * @return their names
	 */
	public List<String> behind(long version) {
		return this.members.stream()
			.filter((member) -> !member.daemon().equals(this.daemon) && member.isServing())
			.filter((member) -> member.configurationVersion() < version)
			.map(MemberStatus::daemon)
			.toList();
	}

	/**
	 * A daemon of the fleet.
	 *
	 * @param daemon its name
	 * @param status its state in lower case
	 * @param failureDomain where it is
	 * @param callerAddress where callers reach it
	 * @param configurationVersion version in force there, as last heard
	 * @param load share of its capacity in use
	 */
	public record MemberStatus(String daemon, String status, String failureDomain, String callerAddress,
			long configurationVersion, int load) {

		/**
		 * Returns whether the daemon serves callers.
		 * @return whether it is not taken to be dead
		 */
		public boolean isServing() {
			return !"dead".equals(this.status);
		}

	}

	/**
	 * A backend server.
	 *
	 * @param id its name
	 * @param pool its pool
	 * @param failureDomain where it is
	 * @param address where it is reached
	 * @param owner daemon that hands out its permits, if one is known
	 */
	public record BackendServerStatus(String id, String pool, String failureDomain, String address,
			@Nullable String owner) {
	}

}
