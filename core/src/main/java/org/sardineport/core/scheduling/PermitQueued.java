package org.sardineport.core.scheduling;

import java.time.Duration;
import java.util.Objects;

import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.routing.ServerState;

/**
 * Message from owner to entry: the request has been queued for a permit.
 *
 * @param request identity of the request
 * @param backendServer backend server for which it is queued
 * @param expectedWait estimated time until it is granted
 * @param state state of the backend server known to its owner
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
