package org.sardineport.core.scheduling;

import java.util.Objects;

import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.RequestId;

/**
 * Message from owner to entry: the running request is preempted by the top tier and must
 * be cancelled.
 *
 * @param request identity of the request
 * @param backendServer backend server on which it runs
 */
public record PermitPreemption(RequestId request, BackendServerId backendServer) implements SchedulingMessage {

	/**
	 * Creates the record.
	 */
	public PermitPreemption {
		Objects.requireNonNull(request, "request must not be null");
		Objects.requireNonNull(backendServer, "backendServer must not be null");
	}

}
