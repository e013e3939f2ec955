package org.sardineport.daemon.fleet;

import java.util.List;
import java.util.Objects;

import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.settings.DaemonSettings;
import org.sardineport.settings.MembershipSettings;

/**
 * Identity and addresses of a daemon, and the settings for joining the fleet.
 *
 * @param daemon ID of the daemon, unique in the fleet
 * @param failureDomain failure domain that the daemon runs in
 * @param peerAddress address for messages from other daemons
 * @param callerAddress address for requests from callers
 * @param seeds addresses of daemons to contact for joining, besides those on the VM list;
 * may be empty
 * @param processorPercent processor time that the daemon may use, in percent of a core; 0
 * if it is not known
 * @param membership intervals and timeouts of the membership protocol
 */
public record FleetSettings(DaemonId daemon, FailureDomain failureDomain, NetworkAddress peerAddress,
		NetworkAddress callerAddress, List<NetworkAddress> seeds, int processorPercent, MembershipSettings membership) {

	/**
	 * Creates the settings with a copy of the seeds.
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
	 * Returns the subset of a daemon's settings that concerns the fleet.
	 * @param settings the daemon's settings
	 * @return the fleet settings
	 */
	public static FleetSettings of(DaemonSettings settings) {
		return new FleetSettings(settings.daemon(), settings.failureDomain(), settings.peerAddress(),
				settings.callerAddress(), settings.seeds(), 0, settings.membership());
	}

}
