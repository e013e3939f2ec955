package org.sardineport.standins.service;

/**
 * Load report of a plain service. Component names are part of the HTTP protocol.
 *
 * @param running number of running calls
 * @param waiting always 0: calls are not queued
 * @param freeCacheTokens always 0: there is no cache
 * @param leaving whether the backend server is about to leave the fleet
 * @param resumesStreams always false
 * @param observedAt time of the report in ISO 8601
 */
record ServiceLoadJson(int running, int waiting, long freeCacheTokens, boolean leaving, boolean resumesStreams,
		String observedAt) {

}
