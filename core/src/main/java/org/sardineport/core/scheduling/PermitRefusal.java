package org.sardineport.core.scheduling;

import java.time.Duration;
import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.routing.ServerState;

/**
 * Owner to entry: the request may not run there.
 *
 * @param request identity of the request
 * @param backendServer where it may not run
 * @param denial why
 * @param retryAfter when a new try may succeed
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
