package org.sardineport.core.quarantine;

import java.time.Instant;
import java.util.Objects;

import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.request.Fingerprint;

/**
 * A request's connection broke as a backend server died.
 *
 * @param fingerprint hash by which the request is known
 * @param backendServer the backend server
 * @param expires until when the strike counts
 */
public record Strike(Fingerprint fingerprint, BackendServerId backendServer, Instant expires) {

	/**
	 * Creates the strike.
	 */
	public Strike {
		Objects.requireNonNull(fingerprint, "fingerprint must not be null");
		Objects.requireNonNull(backendServer, "backendServer must not be null");
		Objects.requireNonNull(expires, "expires must not be null");
	}

}
