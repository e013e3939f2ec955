package org.sardineport.daemon.engine;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * Answer to a cancellation.
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record CancelJson(boolean ran) {

}
