package org.sardineport.settings;

import java.util.List;

import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;

/**
 * Settings of one daemon.
 *
 * @param fleet name of the fleet, the same on all its daemons
 * @param daemon name of this daemon, unique within the fleet
 * @param failureDomain failure domain in which the daemon runs
 * @param callerAddress address of the callers' port
 * @param operatorAddress address of the operators' port
 * @param peerAddress address of the port for other daemons
 * @param seeds peer addresses of daemons to contact when joining the fleet
 * @param peerKeys secrets that authenticate frames between daemons, at least 32
 * characters each; frames are signed with the first and accepted with any
 * @param operatorToken bearer token for the operators' port
 * @param platform addresses of the platform's services
 * @param callers limits on requests of callers
 * @param scheduling limits of scheduling
 * @param journal settings of the journal
 * @param membership settings of failure detection
 * @param configuration settings of the configuration stream
 * @param stop settings of planned stops
 */
public record DaemonSettings(String fleet, DaemonId daemon, FailureDomain failureDomain, NetworkAddress callerAddress,
		NetworkAddress operatorAddress, NetworkAddress peerAddress, List<NetworkAddress> seeds, List<String> peerKeys,
		String operatorToken, PlatformSettings platform, CallerSettings callers, SchedulingSettings scheduling,
		JournalSettings journal, MembershipSettings membership, ConfigurationSettings configuration,
		StopSettings stop) {

	/**
	 * Creates settings with copies of the lists.
	 */
	public DaemonSettings {
		seeds = List.copyOf(seeds);
		peerKeys = List.copyOf(peerKeys);
	}

	@Override
	public String toString() {
		return "DaemonSettings[fleet=%s, daemon=%s]".formatted(this.fleet, this.daemon);
	}

}
