package org.sardineport.daemon.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import org.jspecify.annotations.Nullable;
import org.sardineport.core.admission.Permit;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.request.TokenEstimate;

/**
 * Request and timeouts of one attempt at a backend server.
 *
 * @param protocol header names and body formats of the backend server
 * @param permit permission to send the request to a backend server
 * @param requestId identity that the caller gave the request
 * @param method HTTP method
 * @param target path and query
 * @param headers headers for the backend server
 * @param body the whole body
 * @param latestSend time from which the request is not sent any more, as its caller no
 * longer waits
 * @param estimate expected tokens of prompt and answer
 * @param tokensPerEvent tokens that one event of the response holds
 * @param lastEventId identity of the last event that the caller has received; -1 if none
 * @param isResumed whether an earlier attempt has passed on a part of the response
 * @param isTakenUp whether the caller has earlier events of the stream from another
 * request
 * @param maxConnectionIdle maximum time for which a reused connection may have been idle
 * @param firstDataTimeout time without data after which the backend server is reported as
 * silent, or {@code null} if that is of no use
 * @param gapTimeout the same for the time between two parts of a stream, and between two
 * reports
 * @param stages time that the request spends in each stage
 */
record AttemptPlan(RelayProtocol protocol, Permit permit, String requestId, String method, String target,
		MultiMap headers, Buffer body, Instant latestSend, TokenEstimate estimate, int tokensPerEvent, long lastEventId,
		boolean isResumed, boolean isTakenUp, Duration maxConnectionIdle, @Nullable Duration firstDataTimeout,
		@Nullable Duration gapTimeout, StageTimes stages) {

	AttemptPlan {
		Objects.requireNonNull(protocol, "protocol must not be null");
		Objects.requireNonNull(permit, "permit must not be null");
		Objects.requireNonNull(requestId, "requestId must not be null");
		Objects.requireNonNull(latestSend, "latestSend must not be null");
	}

	BackendServer server() {
		return this.permit.backendServer();
	}

}
