package org.sardineport.core.port.backend;

/**
 * A change in an engine's prefix cache.
 *
 * @param sequence number of the event on its engine, growing; a jump is a gap
 * @param prefixHash hash of the prompt's first block
 * @param stored whether the block was stored; otherwise it was evicted
 */
public record CacheEvent(long sequence, long prefixHash, boolean stored) {

}
