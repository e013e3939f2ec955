package org.sardineport.core.scheduling;

import java.util.List;
import java.util.Optional;

import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.ownership.Ownership;

/**
 * Tells which daemon grants the permits of a backend server. Daemons with the same view
 * of the fleet must get the same answer; with different views two may own it at once,
 * which over-admits for a while and does no other harm.
 */
@FunctionalInterface
public interface OwnerLookup {

	/**
	 * Returns the owner.
	 * @param server the backend server
	 * @param members the daemons that may own it
	 * @return the owner, or empty if there is no daemon
	 */
	Optional<DaemonId> owner(BackendServer server, List<Member> members);

	/**
	 * Returns the lookup by rendezvous hashing.
	 * @return the lookup that all daemons of a fleet use
	 */
	static OwnerLookup rendezvous() {
		return (server, members) -> Ownership.owner(server, members).map(Member::id);
	}

}
