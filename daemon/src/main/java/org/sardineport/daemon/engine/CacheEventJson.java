package org.sardineport.daemon.engine;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import org.sardineport.core.port.backend.CacheEvent;

/**
 * JSON form of a prefix cache event, as sent by model engines.
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record CacheEventJson(long sequence, long prefixHash, boolean stored) {

	CacheEvent toEvent() {
		return new CacheEvent(this.sequence, this.prefixHash, this.stored);
	}

}
