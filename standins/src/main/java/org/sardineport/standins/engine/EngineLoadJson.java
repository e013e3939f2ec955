package org.sardineport.standins.engine;

/**
 * Load report of an engine.
 */
record EngineLoadJson(int running, int waiting, long freeCacheTokens, boolean leaving, boolean resumesStreams,
		String observedAt) {

}
