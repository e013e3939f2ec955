package org.sardineport.standins.service;

/**
 * Load report of a plain service.
 */
record ServiceLoadJson(int running, int waiting, long freeCacheTokens, boolean leaving, boolean resumesStreams,
		String observedAt) {

}
