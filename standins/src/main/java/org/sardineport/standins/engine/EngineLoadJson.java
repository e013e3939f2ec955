package org.sardineport.standins.engine;

/**
 * Load report of an engine. Component names are part of the HTTP protocol.
 *
 * @param running number of running streams
 * @param waiting number of queued streams
 * @param freeCacheTokens free space of the KV cache, in tokens
 * @param leaving whether the engine is about to leave the fleet
 * @param resumesStreams whether streams can be resumed and moved
 * @param observedAt time of the report in ISO 8601
 */
record EngineLoadJson(int running, int waiting, long freeCacheTokens, boolean leaving, boolean resumesStreams,
		String observedAt) {

}
