package org.sardineport.core.fleet;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.PoolName;

/**
 * State of the fleet as known to this daemon at one time. Immutable.
 *
 * @param self this daemon
 * @param members all known daemons, this one included
 * @param backendServers backend servers that may get new work: listed as live and not
 * known to be leaving
 */
public record FleetSnapshot(DaemonId self, List<Member> members, List<BackendServer> backendServers) {

	/**
	 * Creates the snapshot from copies of the lists.
	 */
	public FleetSnapshot {
		Objects.requireNonNull(self, "self must not be null");
		members = List.copyOf(members);
		backendServers = List.copyOf(backendServers);
	}

	// Written out for faster start-up, see the package core.identity.
	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof FleetSnapshot that && this.self.equals(that.self) && this.members.equals(that.members)
				&& this.backendServers.equals(that.backendServers);
	}

	@Override
	public int hashCode() {
		return 31 * this.members.hashCode() + this.backendServers.hashCode();
	}

	/**
	 * Returns a daemon by name.
	 * @param id its name
	 * @return the daemon, or empty if it is not known
	 */
	public Optional<Member> member(DaemonId id) {
		return this.members.stream().filter((member) -> member.id().equals(id)).findFirst();
	}

	/**
	 * Returns the backend servers of a pool.
	 * @param pool the pool
	 * @return those that may get new work
	 */
	public List<BackendServer> pool(PoolName pool) {
		return this.backendServers.stream().filter((server) -> server.pool().equals(pool)).toList();
	}

}
