package org.sardineport.core.backend;

import java.time.Instant;
import java.util.Objects;

import org.sardineport.core.identity.BackendServerId;

/**
 * What a backend server says of its own load. Reports arrive late.
 *
 * @param backendServer who reports
 * @param running requests it runs
 * @param waiting requests it has admitted that do not run yet
 * @param freeCacheTokens room in its KV cache in tokens; 0 for plain services
 * @param leaving whether it is about to leave
 * @param resumesStreams whether it can resume a stream
 * @param observedAt when it measured this, by its own clock
 */
public record LoadReport(BackendServerId backendServer, int running, int waiting, long freeCacheTokens, boolean leaving,
		boolean resumesStreams, Instant observedAt) {

	/**
	 * Creates the report.
	 */
	public LoadReport {
		Objects.requireNonNull(backendServer, "backendServer must not be null");
		Objects.requireNonNull(observedAt, "observedAt must not be null");
	}

}
