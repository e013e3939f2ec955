package org.sardineport.core.scheduling;

import java.util.Objects;

import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.RequestId;

/**
 * Entry to owner: the request does not wait there any more, and a permit on its way to
 * the entry will not be used.
 *
 * @param request identity of the request
 * @param backendServer where it waited
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
