package org.sardineport.core.quarantine;

import java.time.Instant;
import java.util.Objects;

import org.sardineport.core.backend.BackendProcess;
import org.sardineport.core.request.Fingerprint;

/**
 * Record that a process of a backend server crashed while it ran a request.
 *
 * @param key the request and the process
 * @param expires time from which the strike no longer counts
 */
public record Strike(StrikeKey key, Instant expires) {

	/**
	 * Creates the strike and checks that its parts are present.
	 */
	public Strike {
		Objects.requireNonNull(key, "key must not be null");
		Objects.requireNonNull(expires, "expires must not be null");
	}

	/**
	 * Returns the request.
	 * @return its fingerprint
	 */
	public Fingerprint fingerprint() {
		return this.key.fingerprint();
	}

	/**
	 * Returns the process that crashed.
	 * @return the process
	 */
	public BackendProcess process() {
		return this.key.process();
	}

}
