package org.sardineport.core.configuration;

/**
 * Tells which version is in force at the sender.
 *
 * @param version the version
 * @param ready whether the sender holds the newest configuration that it could learn of
 */
public record ConfigurationAnnouncement(long version, boolean ready) implements ConfigurationMessage {

}
