package org.sardineport.core.backend;

import java.time.Instant;
import java.util.Objects;

import org.sardineport.core.identity.BackendServerId;

/**
 * Load as reported by a backend server itself. Reports arrive with a delay, so the values
 * may be outdated.
 *
 * @param backendServer backend server that sent the report
 * @param running number of running requests
 * @param waiting number of admitted requests that are not running yet
 * @param freeCacheTokens free KV cache capacity in tokens; 0 for plain services
 * @param leaving whether it is about to shut down
 * @param resumesStreams whether it supports resuming an interrupted stream
 * @param observedAt time of the measurement by the clock of the backend server
 */
public record LoadReport(BackendServerId backendServer, int running, int waiting, long freeCacheTokens, boolean leaving,
		boolean resumesStreams, Instant observedAt) {

	/**
	 * Creates the report; the counts are taken as sent, without range checks.
	 */
	public LoadReport {
		Objects.requireNonNull(backendServer, "backendServer must not be null");
		Objects.requireNonNull(observedAt, "observedAt must not be null");
	}

}
