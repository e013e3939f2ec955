package org.sardineport.core.admission;

import java.time.Instant;
import java.util.Objects;

import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.identity.RequestId;

/**
 * Leave to dispatch one request to one backend server, once, before it lapses.
 *
 * @param request the request
 * @param backendServer where it may be dispatched
 * @param lapses from when on the permit must not be used any more
 */
public record Permit(RequestId request, BackendServer backendServer, Instant lapses) {

	/**
	 * Creates the permit.
	 */
	public Permit {
		Objects.requireNonNull(request, "request must not be null");
		Objects.requireNonNull(backendServer, "backendServer must not be null");
		Objects.requireNonNull(lapses, "lapses must not be null");
	}

	/**
	 * Returns whether the permit may still be used.
	 * @param now the current time
	 * @return whether it has not lapsed
	 */
	public boolean isValidAt(Instant now) {
		return now.isBefore(this.lapses);
	}

}
