package org.sardineport.core.configuration;

/**
 * Announces the version that is in force at the sender.
 *
 * @param version version in force
 * @param asOf last offset of the log that the sender's state contains
 * @param ready whether the sender is ready to serve, see {@link ConfigurationReadiness}
 */
public record ConfigurationAnnouncement(long version, long asOf, boolean ready) implements ConfigurationMessage {

}
