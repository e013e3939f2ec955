package org.sardineport.core.scheduling;

/**
 * A change of the share of permit requests that a daemon wants to get.
 *
 * @param percent the share from now on, in percent
 * @param delayMillis how long messages wait at the daemon, in milliseconds
 */
public record RequestShareChange(int percent, long delayMillis) {

}
