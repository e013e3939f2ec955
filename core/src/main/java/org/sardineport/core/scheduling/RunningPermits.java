package org.sardineport.core.scheduling;

import java.util.List;
import java.util.Objects;

import org.sardineport.core.identity.BackendServerId;

/**
 * Message from entry to owner: lists all requests of the entry that hold a permit on the
 * backend server. A new owner counts them; the current owner frees permits missing from
 * the list.
 *
 * @param backendServer backend server on which they run
 * @param running the permit requests of the running requests
 */
public record RunningPermits(BackendServerId backendServer, List<PermitRequest> running) implements SchedulingMessage {

	/**
	 * Creates the record.
	 */
	public RunningPermits {
		Objects.requireNonNull(backendServer, "backendServer must not be null");
		running = List.copyOf(running);
	}

}
