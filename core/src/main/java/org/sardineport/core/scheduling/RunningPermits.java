package org.sardineport.core.scheduling;

import java.util.List;
import java.util.Objects;

import org.sardineport.core.identity.BackendServerId;

/**
 * Entry to owner: all requests of the entry that hold a permit on the backend server. A
 * new owner counts them; the present one frees permits that are missing from it.
 *
 * @param backendServer where they run
 * @param running the requests
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
