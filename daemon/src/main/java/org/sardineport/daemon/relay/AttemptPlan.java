package org.sardineport.daemon.relay;

import java.time.Duration;
import java.util.Objects;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.request.TokenEstimate;

/**
 * What an attempt sends, and what it waits for.
 *
 * @param protocol names and formats of the wire
 * @param server the backend server
 * @param requestId identity that the caller gave the request
 * @param method HTTP method
 * @param target path and query
 * @param headers headers for the backend server
 * @param body the whole body
 * @param estimate expected size of the run
 * @param tokensPerEvent tokens that one event of the answer holds
 * @param lastEvent last event of the stream that the caller has; -1 if it has none
 * @param isResumed whether a part of the answer was passed on by an earlier attempt
 * @param longestIdle most time for which a kept connection may have been idle
 * @param firstPatience time after which the attempt is given up if nothing came, or
 * {@code null} to wait for as long as the caller does
 * @param gapPatience the same between two parts of a stream
 */
record AttemptPlan(RelayProtocol protocol, BackendServer server, String requestId, String method, String target,
		MultiMap headers, Buffer body, TokenEstimate estimate, int tokensPerEvent, long lastEvent, boolean isResumed,
		Duration longestIdle, @Nullable Duration firstPatience, @Nullable Duration gapPatience) {

	AttemptPlan {
		Objects.requireNonNull(protocol, "protocol must not be null");
		Objects.requireNonNull(server, "server must not be null");
		Objects.requireNonNull(requestId, "requestId must not be null");
	}

}
