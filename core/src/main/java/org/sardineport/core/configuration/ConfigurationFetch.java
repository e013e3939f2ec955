package org.sardineport.core.configuration;

/**
 * Asks a daemon for a page of what changed in its configuration since a version. The
 * answer is an {@link ImagePage}, or a {@link ConfigurationAnnouncement} if nothing
 * changed.
 *
 * @param newerThan version that the asking daemon has
 * @param index number of the page wanted, from 0
 */
public record ConfigurationFetch(long newerThan, int index) implements ConfigurationMessage {

}
