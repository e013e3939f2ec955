package org.sardineport.core.quarantine;

import java.time.Instant;
import java.util.Objects;

/**
 * Record that a process of a backend server crashed while it ran a request.
 *
 * @param key the suspect and the process
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
	 * Returns what may be to blame.
	 * @return the request or part of prompts
	 */
	public Suspect suspect() {
		return this.key.suspect();
	}

}
