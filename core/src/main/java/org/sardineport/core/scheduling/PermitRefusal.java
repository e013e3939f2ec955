package org.sardineport.core.scheduling;

import java.time.Duration;
import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.routing.ServerState;

/**
 * Message from owner to entry: denies a permit for the backend server.
 *
 * @param request identity of the request
 * @param backendServer backend server on which it may not run
 * @param denial reason for the denial
 * @param retryAfter estimated time after which a retry may succeed; 0 if unknown
 * @param state state of the backend server, or {@code null} if the daemon is not its
 * owner
 */
public record PermitRefusal(RequestId request, BackendServerId backendServer, PermitDenial denial, Duration retryAfter,
		@Nullable ServerState state) implements SchedulingMessage {

	/**
	 * Creates the record.
	 */
	public PermitRefusal {
		Objects.requireNonNull(request, "request must not be null");
		Objects.requireNonNull(backendServer, "backendServer must not be null");
		Objects.requireNonNull(denial, "denial must not be null");
		Objects.requireNonNull(retryAfter, "retryAfter must not be null");
	}

}
