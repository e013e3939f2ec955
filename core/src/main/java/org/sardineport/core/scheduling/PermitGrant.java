package org.sardineport.core.scheduling;

import java.time.Duration;
import java.util.Objects;

import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.RequestId;
import org.sardineport.core.routing.ServerState;

/**
 * Message from owner to entry: grants a permit to dispatch the request within the given
 * time.
 *
 * @param request identity of the request
 * @param backendServer backend server on which it may run
 * @param valid time within which it must be dispatched
 * @param state state of the backend server known to its owner
 */
public record PermitGrant(RequestId request, BackendServerId backendServer, Duration valid,
		ServerState state) implements SchedulingMessage {

	/**
	 * Creates the record.
	 */
	public PermitGrant {
		Objects.requireNonNull(request, "request must not be null");
		Objects.requireNonNull(backendServer, "backendServer must not be null");
		Objects.requireNonNull(valid, "valid must not be null");
		Objects.requireNonNull(state, "state must not be null");
	}

}
