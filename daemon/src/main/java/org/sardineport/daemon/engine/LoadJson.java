package org.sardineport.daemon.engine;

import java.time.Instant;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import org.sardineport.core.backend.LoadReport;
import org.sardineport.core.identity.BackendServerId;

/**
 * JSON form of a load report, as sent by backend servers.
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record LoadJson(int running, int waiting, long freeCacheTokens, boolean leaving, boolean resumesStreams,
		String observedAt) {

	LoadReport toReport(BackendServerId server) {
		return new LoadReport(server, this.running, this.waiting, this.freeCacheTokens, this.leaving,
				this.resumesStreams, Instant.parse(this.observedAt));
	}

}
