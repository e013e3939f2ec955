package org.sardineport.daemon.engine;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import org.sardineport.core.port.backend.CacheEvent;

/**
 * Event of the prefix cache as engines write it.
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record CacheEventJson(long sequence, long prefixHash, boolean stored) {

	CacheEvent toEvent() {
		return new CacheEvent(this.sequence, this.prefixHash, this.stored);
	}

}
