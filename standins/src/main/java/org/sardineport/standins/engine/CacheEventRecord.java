package org.sardineport.standins.engine;

/**
 * Event of the prefix cache.
 */
record CacheEventRecord(long sequence, long prefixHash, boolean stored) {

}
