package org.sardineport.daemon.engine;

import java.time.Instant;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import org.sardineport.core.backend.LoadReport;
import org.sardineport.core.identity.BackendServerId;

/**
 * Load report as backend servers write it.
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record LoadJson(int running, int waiting, long freeCacheTokens, boolean leaving, boolean resumesStreams,
		String observedAt) {

	LoadReport toReport(BackendServerId server) {
		return new LoadReport(server, this.running, this.waiting, this.freeCacheTokens, this.leaving,
				this.resumesStreams, Instant.parse(this.observedAt));
	}

}
