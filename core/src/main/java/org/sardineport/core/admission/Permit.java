package org.sardineport.core.admission;

import java.time.Instant;
import java.util.Objects;

import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.identity.RequestId;

/**
 * Permission to dispatch one request to one backend server once, before the permit
 * expires.
 *
 * @param request the request
 * @param backendServer backend server to which the request may be dispatched
 * @param expires time from which the permit must not be used
 * @param rateLimited whether a rate limit of the backend server applies, so that a
 * response which states none is news
 */
public record Permit(RequestId request, BackendServer backendServer, Instant expires, boolean rateLimited) {

	/**
	 * Creates the permit and checks that its parts are present.
	 */
	public Permit {
		Objects.requireNonNull(request, "request must not be null");
		Objects.requireNonNull(backendServer, "backendServer must not be null");
		Objects.requireNonNull(expires, "expires must not be null");
	}

	/**
	 * Creates a permit for a backend server without a rate limit.
	 * @param request the request
	 * @param backendServer backend server to which the request may be dispatched
	 * @param expires time from which the permit must not be used
	 */
	public Permit(RequestId request, BackendServer backendServer, Instant expires) {
		this(request, backendServer, expires, false);
	}

	/**
	 * Returns whether the permit may still be used.
	 * @param now the current time
	 * @return whether the time is before the expiry
	 */
	public boolean isValidAt(Instant now) {
		return now.isBefore(this.expires);
	}

}
