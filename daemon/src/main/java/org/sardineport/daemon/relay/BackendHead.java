package org.sardineport.daemon.relay;

import java.time.Duration;
import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.identity.OrganisationId;

/**
 * What this program adds to a request for a backend server.
 *
 * @param server the only backend server that may run it
 * @param organisation whose request it is, or {@code null}
 * @param timeLeft time within which the answer is of use
 * @param lastEvent last event that the caller has, from which a stream goes on, or
 * {@code null} to leave it as the caller said
 */
public record BackendHead(BackendServerId server, @Nullable OrganisationId organisation, Duration timeLeft,
		@Nullable Long lastEvent) {

	/**
	 * Creates the head.
	 */
	public BackendHead {
		Objects.requireNonNull(server, "server must not be null");
		Objects.requireNonNull(timeLeft, "timeLeft must not be null");
	}

}
