package org.sardineport.standins.http;

/**
 * Load report of a backend server. Component names are part of the HTTP protocol.
 * Immutable.
 *
 * @param running number of running requests
 * @param waiting number of queued requests
 * @param freeCacheTokens free space of the KV cache, in tokens; 0 without a cache
 * @param leaving whether the backend server is about to leave the fleet
 * @param resumesStreams whether streams can be resumed and moved
 * @param observedAt time of the report in ISO 8601
 */
public record LoadReportJson(int running, int waiting, long freeCacheTokens, boolean leaving, boolean resumesStreams,
		String observedAt) {

}
