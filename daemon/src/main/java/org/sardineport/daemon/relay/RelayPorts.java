package org.sardineport.daemon.relay;

import java.util.Objects;

import org.sardineport.core.port.platform.VmList;
import org.sardineport.core.port.relay.ConfigurationFeed;

/**
 * The platform as a forwarding daemon sees it.
 *
 * @param protocol names and formats of the wire
 * @param vmList the list of backend servers and daemons
 * @param configuration the operators' configuration
 */
public record RelayPorts(RelayProtocol protocol, VmList vmList, ConfigurationFeed configuration) {

	/**
	 * Creates the ports.
	 */
	public RelayPorts {
		Objects.requireNonNull(protocol, "protocol must not be null");
		Objects.requireNonNull(vmList, "vmList must not be null");
		Objects.requireNonNull(configuration, "configuration must not be null");
	}

}
