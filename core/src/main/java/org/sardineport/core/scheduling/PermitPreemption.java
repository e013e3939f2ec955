package org.sardineport.core.scheduling;

import java.util.Objects;

import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.RequestId;

/**
 * Owner to entry: the running request must give up its place to the top tier.
 *
 * @param request identity of the request
 * @param backendServer where it runs
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
