package org.sardineport.settings;

import java.time.Duration;

import org.sardineport.core.identity.NetworkAddress;

/**
 * Addresses of the platform's services.
 *
 * @param logService address of the log service
 * @param vmList address of the VM list
 * @param timeout timeout of a connection or request to either service
 */
public record PlatformSettings(NetworkAddress logService, NetworkAddress vmList, Duration timeout) {

}
