package org.sardineport.core.stream;

import java.time.Duration;
import java.util.Objects;

import org.sardineport.core.backend.SoftwareVersion;

/**
 * A run whose first event has gone to its caller.
 *
 * @param run the run
 * @param version version of the backend server that sent the event
 * @param keep how long the caller may come back
 */
public record BegunRun(StreamRun run, SoftwareVersion version, Duration keep) {

	/**
	 * Creates the run.
	 */
	public BegunRun {
		Objects.requireNonNull(run, "run must not be null");
		Objects.requireNonNull(version, "version must not be null");
		Objects.requireNonNull(keep, "keep must not be null");
	}

	/**
	 * Returns what to store of the run.
	 * @return its origin
	 */
	public StoredOrigin stored() {
		return new StoredOrigin(this.run.key(), RunOrigin.begun(this.run.number(), this.version));
	}

}
