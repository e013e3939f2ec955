package org.sardineport.core.membership;

import java.time.Duration;
import java.util.Objects;

import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.request.Fingerprint;

/**
 * Update about a strike against a request: its connection broke when a backend server
 * died.
 *
 * @param fingerprint fingerprint of the request
 * @param backendServer the backend server that died
 * @param remaining time for which the strike still counts
 */
public record StrikeUpdate(Fingerprint fingerprint, BackendServerId backendServer, Duration remaining) {

	/**
	 * Creates the strike.
	 * @throws IllegalArgumentException if the remaining time is negative
	 */
	public StrikeUpdate {
		Objects.requireNonNull(fingerprint, "fingerprint must not be null");
		Objects.requireNonNull(backendServer, "backendServer must not be null");
		if (remaining.isNegative()) {
			throw new IllegalArgumentException("remaining must not be negative, found %s".formatted(remaining));
		}
	}

}
