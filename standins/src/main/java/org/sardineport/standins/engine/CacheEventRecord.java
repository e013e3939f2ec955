package org.sardineport.standins.engine;

/**
 * Event of the prefix cache, as the stand-in writes it in JSON. Component names are part
 * of the HTTP protocol.
 *
 * @param sequence number of the event, from 1
 * @param prefixHash hash of the prompt prefix
 * @param stored whether the prefix was added to the cache, or else evicted
 */
record CacheEventRecord(long sequence, long prefixHash, boolean stored) {

}
