package org.sardineport.daemon.relay;

import java.time.Duration;
import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.OrganisationId;

/**
 * Values that this daemon adds to the headers of a request to a backend server.
 *
 * @param server the only backend server that may run the request
 * @param organisation organisation of the caller, or {@code null} if the route is open
 * @param remainingTime remaining time until the request's deadline
 * @param lastEventId identity of the event after which the stream resumes, or
 * {@code null} to keep the caller's header
 */
public record AddedRequestHeaders(BackendServerId server, @Nullable OrganisationId organisation, Duration remainingTime,
		@Nullable Long lastEventId) {

	/**
	 * Creates the head; server and remaining time are required.
	 */
	public AddedRequestHeaders {
		Objects.requireNonNull(server, "server must not be null");
		Objects.requireNonNull(remainingTime, "remainingTime must not be null");
	}

}
