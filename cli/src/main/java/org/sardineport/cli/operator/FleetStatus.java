package org.sardineport.cli.operator;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Status of a daemon and of the fleet as known to it.
 *
 * @param daemon name of the responding daemon
 * @param incarnation number of the daemon's run, which grows with each start
 * @param configurationVersion configuration version in force on the daemon
 * @param ready whether the daemon serves callers
 * @param reasons reasons why the daemon is not ready; empty if it is
 * @param members the daemons known to the responding daemon
 * @param backendServers the backend servers known to the responding daemon
 */
public record FleetStatus(String daemon, long incarnation, long configurationVersion, boolean ready,
		List<String> reasons, List<MemberStatus> members, List<BackendServerStatus> backendServers) {

	/**
	 * Creates a status; absent lists are empty.
	 */
	public FleetStatus {
		reasons = (reasons != null) ? List.copyOf(reasons) : List.of();
		members = (members != null) ? List.copyOf(members) : List.of();
		backendServers = (backendServers != null) ? List.copyOf(backendServers) : List.of();
	}

	/**
	 * Returns the other daemons that are not dead and report an older version.
	 * @param version the configuration version to compare with
	 * @return names of the daemons
	 */
	public List<String> daemonsBehind(long version) {
		return this.members.stream()
			.filter((member) -> !member.daemon().equals(this.daemon) && member.isServing())
			.filter((member) -> member.configurationVersion() < version)
			.map(MemberStatus::daemon)
			.toList();
	}

	/**
	 * A daemon of the fleet.
	 *
	 * @param daemon name of the daemon
	 * @param status membership state in lower case
	 * @param failureDomain failure domain of the daemon
	 * @param callerAddress address of the callers' port
	 * @param configurationVersion configuration version that the daemon last reported
	 * @param load load in percent of the daemon's share of the capacity
	 */
	public record MemberStatus(String daemon, String status, String failureDomain, String callerAddress,
			long configurationVersion, int load) {

		/**
		 * Returns whether the daemon may still serve callers.
		 * @return whether the status is not "dead"
		 */
		public boolean isServing() {
			return !"dead".equals(this.status);
		}

	}

	/**
	 * A backend server.
	 *
	 * @param id name of the backend server
	 * @param pool pool of the backend server
	 * @param failureDomain failure domain of the backend server
	 * @param address address of the backend server
	 * @param owner daemon that grants permits for the backend server; null if unknown
	 */
	public record BackendServerStatus(String id, String pool, String failureDomain, String address,
			@Nullable String owner) {
	}

}
