package org.sardineport.core.configuration;

/**
 * Tells which version is in force at the sender.
 *
 * @param version the version
 * @param asOf last offset of the log that the sender's state contains
 * @param ready whether the sender holds the newest configuration that it could learn of
 */
public record ConfigurationAnnouncement(long version, long asOf, boolean ready) implements ConfigurationMessage {

}
