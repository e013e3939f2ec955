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
 * @param timeLeft remaining time until the request's deadline
 * @param lastEvent identity of the event after which the stream resumes, or {@code null}
 * to keep the caller's header
 */
public record BackendHead(BackendServerId server, @Nullable OrganisationId organisation, Duration timeLeft,
		@Nullable Long lastEvent) {

	/**
	 * Creates the head; server and remaining time are required.
	 */
	public BackendHead {
		Objects.requireNonNull(server, "server must not be null");
		Objects.requireNonNull(timeLeft, "timeLeft must not be null");
	}

}
