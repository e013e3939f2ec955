package org.sardineport.daemon.engine;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * JSON form of the response to a cancellation.
 *
 * @param ran whether the stream was running when it was cancelled
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record CancelJson(boolean ran) {

}
