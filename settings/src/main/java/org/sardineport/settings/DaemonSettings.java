package org.sardineport.settings;

import java.util.List;

import org.sardineport.core.identity.DaemonId;
import org.sardineport.core.identity.FailureDomain;
import org.sardineport.core.identity.NetworkAddress;

/**
 * Settings of one daemon.
 *
 * @param fleet name of the fleet, the same on all its daemons
 * @param daemon name of this daemon
 * @param failureDomain where it runs
 * @param callerAddress where callers reach it
 * @param operatorAddress where operators reach it
 * @param peerAddress where other daemons reach it
 * @param seeds peer addresses of daemons to join by
 * @param peerKeys secrets that authenticate frames between daemons; the first signs, all
 * verify; at least 32 characters each
 * @param operatorToken bearer token for the operators' port
 * @param platform where the platform's services are
 * @param callers limits towards callers
 * @param scheduling limits of scheduling
 * @param journal the journal
 * @param membership probing of other daemons
 * @param configuration reading of the configuration
 * @param stop planned stops
 */
public record DaemonSettings(String fleet, DaemonId daemon, FailureDomain failureDomain, NetworkAddress callerAddress,
		NetworkAddress operatorAddress, NetworkAddress peerAddress, List<NetworkAddress> seeds, List<String> peerKeys,
		String operatorToken, PlatformSettings platform, CallerSettings callers, SchedulingSettings scheduling,
		JournalSettings journal, MembershipSettings membership, ConfigurationSettings configuration,
		StopSettings stop) {

	/**
	 * Creates the settings.
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
