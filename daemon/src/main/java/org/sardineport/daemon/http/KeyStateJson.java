package org.sardineport.daemon.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.jspecify.annotations.Nullable;

/**
 * State of a keyed request that has no answer to give.
 *
 * @param key the caller's key
 * @param phase where the request is
 * @param outcome what is known of its run, once it has ended
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
record KeyStateJson(String key, String phase, @Nullable String outcome) {

}
