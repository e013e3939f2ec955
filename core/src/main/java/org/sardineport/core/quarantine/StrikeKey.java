package org.sardineport.core.quarantine;

import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.backend.BackendProcess;

/**
 * Identity of a strike. A process crashes once, so there is at most one strike of a
 * process against a suspect, whichever daemons observe it.
 *
 * @param suspect the request or part of prompts
 * @param process process of the backend server that crashed
 */
public record StrikeKey(Suspect suspect, BackendProcess process) {

	/**
	 * Creates the key and checks that its parts are present.
	 */
	public StrikeKey {
		Objects.requireNonNull(suspect, "suspect must not be null");
		Objects.requireNonNull(process, "process must not be null");
	}

	// Explicit for faster start-up, see the documentation of package core.identity.
	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof StrikeKey that && this.suspect.equals(that.suspect)
				&& this.process.equals(that.process);
	}

	@Override
	public int hashCode() {
		return 31 * this.suspect.hashCode() + this.process.hashCode();
	}

}
