package org.sardineport.daemon.relay;

import java.util.Objects;

import org.sardineport.core.port.platform.VmList;
import org.sardineport.core.port.relay.ConfigurationFeed;
import org.sardineport.core.quarantine.StrikeStore;
import org.sardineport.core.rollout.RolloutStore;
import org.sardineport.core.stream.OriginStore;

/**
 * Interfaces through which a forwarding daemon uses its platform.
 *
 * @param protocol header names and body formats of callers and backend servers
 * @param vmList source of the list of backend servers and daemons
 * @param configuration source of the operators' configuration
 * @param strikes strikes against requests that daemons share
 * @param origins origins of streams, where they survive the loss of all daemons
 * @param rollouts states of rollouts, which operators read
 */
public record RelayPorts(RelayProtocol protocol, VmList vmList, ConfigurationFeed configuration, StrikeStore strikes,
		OriginStore origins, RolloutStore rollouts) {

	/**
	 * Creates the ports, all of which are required.
	 */
	public RelayPorts {
		Objects.requireNonNull(protocol, "protocol must not be null");
		Objects.requireNonNull(vmList, "vmList must not be null");
		Objects.requireNonNull(configuration, "configuration must not be null");
		Objects.requireNonNull(strikes, "strikes must not be null");
		Objects.requireNonNull(origins, "origins must not be null");
		Objects.requireNonNull(rollouts, "rollouts must not be null");
	}

}
