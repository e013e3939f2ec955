package org.sardineport.core.configuration;

/**
 * A record of the configuration stream: a publication, a page of a snapshot, or anything
 * else that was found in it.
 */
public sealed interface ConfigurationRecord permits Publication, ImagePage, UnreadableRecord {

}
