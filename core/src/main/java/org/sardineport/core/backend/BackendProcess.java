package org.sardineport.core.backend;

import java.time.Instant;
import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.BackendServerId;

/**
 * One process of a backend server, from its start to its end. A backend server that
 * starts again under its name has another process.
 *
 * @param server name of the backend server
 * @param startedAt start time of the process, or {@link BackendServer#START_UNKNOWN}, in
 * which case all processes of the server are equal
 */
public record BackendProcess(BackendServerId server, Instant startedAt) {

	/**
	 * Creates the identity and checks that its parts are present.
	 */
	public BackendProcess {
		Objects.requireNonNull(server, "server must not be null");
		Objects.requireNonNull(startedAt, "startedAt must not be null");
	}

	// Explicit for faster start-up, see the documentation of package core.identity.
	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof BackendProcess that && this.server.equals(that.server)
				&& this.startedAt.equals(that.startedAt);
	}

	@Override
	public int hashCode() {
		return 31 * this.server.hashCode() + this.startedAt.hashCode();
	}

}
