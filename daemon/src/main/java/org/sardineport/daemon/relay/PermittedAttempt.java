package org.sardineport.daemon.relay;

import java.util.Objects;

import org.sardineport.core.admission.Permit;
import org.sardineport.core.identity.BackendServerId;

/**
 * An attempt that has not ended, and the permit under which it runs.
 *
 * @param permit the permit, released when the attempt ends
 * @param attempt the attempt
 */
record PermittedAttempt(Permit permit, Attempt attempt) {

	PermittedAttempt {
		Objects.requireNonNull(permit, "permit must not be null");
		Objects.requireNonNull(attempt, "attempt must not be null");
	}

	BackendServerId server() {
		return this.permit.backendServer().id();
	}

}
