package org.sardineport.settings;

import java.time.Duration;

import org.sardineport.core.identity.NetworkAddress;

/**
 * Where the platform's services are.
 *
 * @param logService address of the log service
 * @param vmList address of the VM list
 * @param timeout time to wait for an answer of either
 */
public record PlatformSettings(NetworkAddress logService, NetworkAddress vmList, Duration timeout) {

}
