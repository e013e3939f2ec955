package org.sardineport.daemon.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.jspecify.annotations.Nullable;

/**
 * State of a keyed request that has no stored response.
 *
 * @param key the idempotency key sent by the caller
 * @param phase the phase of the request, in lower case
 * @param outcome the outcome of the run, or {@code null} if it has not ended
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
record KeyStateJson(String key, String phase, @Nullable String outcome) {

}
