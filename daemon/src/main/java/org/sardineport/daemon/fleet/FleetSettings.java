package org.sardineport.daemon.fleet;

import java.util.List;
import java.util.Objects;

import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.settings.DaemonSettings;
import org.sardineport.settings.MembershipSettings;

/**
 * What a daemon is to the others, and how it finds them.
 *
 * @param daemon its name
 * @param failureDomain where it is
 * @param peerAddress where other daemons reach it
 * @param callerAddress where callers reach it
 * @param seeds daemons to join through
 * @param membership times of the membership
 */
public record FleetSettings(DaemonId daemon, FailureDomain failureDomain, NetworkAddress peerAddress,
		NetworkAddress callerAddress, List<NetworkAddress> seeds, MembershipSettings membership) {

	/**
	 * Creates the settings.
	 */
	public FleetSettings {
		Objects.requireNonNull(daemon, "daemon must not be null");
		Objects.requireNonNull(failureDomain, "failureDomain must not be null");
		Objects.requireNonNull(peerAddress, "peerAddress must not be null");
		Objects.requireNonNull(callerAddress, "callerAddress must not be null");
		Objects.requireNonNull(membership, "membership must not be null");
		seeds = List.copyOf(seeds);
	}

	/**
	 * Returns the part of a daemon's settings that concerns the fleet.
	 * @param settings the daemon's settings
	 * @return the part
	 */
	public static FleetSettings of(DaemonSettings settings) {
		return new FleetSettings(settings.daemon(), settings.failureDomain(), settings.peerAddress(),
				settings.callerAddress(), settings.seeds(), settings.membership());
	}

}
