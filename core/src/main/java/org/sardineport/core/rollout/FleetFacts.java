package org.sardineport.core.rollout;

import java.util.Set;

import org.sardineport.core.identity.DaemonId;

/**
 * What a coordinator knows of the fleet besides the reports.
 *
 * @param targetSlots requests that the listed backend servers of the target can run at
 * once
 * @param targetServers number of these backend servers
 * @param otherSlots requests that those of other versions can run at once
 * @param members daemons that are alive, this one included
 */
public record FleetFacts(int targetSlots, int targetServers, int otherSlots, Set<DaemonId> members) {

	/**
	 * Creates the facts from a copy of the set.
	 */
	public FleetFacts {
		members = Set.copyOf(members);
	}

}
