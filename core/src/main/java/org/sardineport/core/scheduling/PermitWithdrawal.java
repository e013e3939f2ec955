package org.sardineport.core.scheduling;

import java.util.Objects;

import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.RequestId;

/**
 * Message from entry to owner: the request is no longer waiting there, and a permit
 * already on its way to the entry will not be used.
 *
 * @param request identity of the request
 * @param backendServer backend server for which it was waiting
 */
public record PermitWithdrawal(RequestId request, BackendServerId backendServer) implements SchedulingMessage {

	/**
	 * Creates the record.
	 */
	public PermitWithdrawal {
		Objects.requireNonNull(request, "request must not be null");
		Objects.requireNonNull(backendServer, "backendServer must not be null");
	}

}
