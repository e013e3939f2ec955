package org.sardineport.core.configuration;

/**
 * Requests a page of the changes in a daemon's configuration since a version. The
 * response is an {@link ImagePage}, or a {@link ConfigurationAnnouncement} if nothing
 * changed.
 *
 * @param newerThan version of the requesting daemon;
 * {@link ConfigurationSnapshot#NO_VERSION} requests the complete configuration
 * @param index zero-based index of the requested page
 */
public record ConfigurationFetch(long newerThan, int index) implements ConfigurationMessage {

}
