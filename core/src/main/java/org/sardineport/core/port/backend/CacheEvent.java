package org.sardineport.core.port.backend;

/**
 * A change in an engine's prefix cache.
 *
 * @param sequence sequence number of the event on its engine, increasing; a skipped
 * number means a lost event
 * @param prefixHash hash of the prompt's first block
 * @param stored {@code true} if the block was stored, {@code false} if it was evicted
 */
public record CacheEvent(long sequence, long prefixHash, boolean stored) {

}
