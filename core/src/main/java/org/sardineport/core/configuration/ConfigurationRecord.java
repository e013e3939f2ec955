package org.sardineport.core.configuration;

/**
 * A record of the configuration stream.
 */
public sealed interface ConfigurationRecord permits Publication, ImagePage, UnreadableRecord {

}
