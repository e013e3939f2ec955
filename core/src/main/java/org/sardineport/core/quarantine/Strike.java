package org.sardineport.core.quarantine;

import java.time.Instant;
import java.util.Objects;

import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.request.Fingerprint;

/**
 * Record that the connection of a request broke because a backend server died.
 *
 * @param fingerprint hash that identifies the request
 * @param backendServer the backend server that died
 * @param expires time from which the strike no longer counts
 */
public record Strike(Fingerprint fingerprint, BackendServerId backendServer, Instant expires) {

	/**
	 * Creates the strike and checks that its parts are present.
	 */
	public Strike {
		Objects.requireNonNull(fingerprint, "fingerprint must not be null");
		Objects.requireNonNull(backendServer, "backendServer must not be null");
		Objects.requireNonNull(expires, "expires must not be null");
	}

}
