package org.sardineport.core.scheduling;

import java.time.Duration;
import java.util.Objects;

import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.routing.ServerState;

/**
 * Owner to entry: the request waits for its turn.
 *
 * @param request identity of the request
 * @param backendServer where it waits
 * @param expectedWait time until its turn, as estimated
 * @param state state of the backend server as its owner knows it
 */
public record PermitQueued(RequestId request, BackendServerId backendServer, Duration expectedWait,
		ServerState state) implements SchedulingMessage {

	/**
	 * Creates the record.
	 */
	public PermitQueued {
		Objects.requireNonNull(request, "request must not be null");
		Objects.requireNonNull(backendServer, "backendServer must not be null");
		Objects.requireNonNull(expectedWait, "expectedWait must not be null");
		Objects.requireNonNull(state, "state must not be null");
	}

}
