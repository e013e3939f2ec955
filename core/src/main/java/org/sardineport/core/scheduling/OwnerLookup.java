package org.sardineport.core.scheduling;

import java.util.List;
import java.util.Optional;

import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.ownership.OwnerTable;

/**
 * Determines which daemon grants the permits of a backend server. Daemons with the same
 * view of the fleet must get the same result. With different views, two daemons may own a
 * backend server at once, which only over-admits requests until the views agree.
 */
@FunctionalInterface
public interface OwnerLookup {

	/**
	 * Returns the owner of a backend server.
	 * @param server the backend server
	 * @param members the daemons that may own it
	 * @return the owner, or empty if no daemon is eligible
	 */
	Optional<DaemonId> owner(BackendServer server, List<Member> members);

	/**
	 * Returns an owner lookup based on rendezvous hashing, which all daemons of a fleet
	 * use. It keeps state and is not safe for use by several threads.
	 * @return a new lookup
	 */
	static OwnerLookup rendezvous() {
		OwnerTable owners = OwnerTable.create();
		return owners::owner;
	}

}
