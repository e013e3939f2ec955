package org.sardineport.core.quarantine;

import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.backend.BackendProcess;
import org.sardineport.core.request.Fingerprint;

/**
 * Identity of a strike. A process crashes once, so there is at most one strike of a
 * process against a request, whichever daemons observe it.
 *
 * @param fingerprint fingerprint of the request
 * @param process process of the backend server that crashed
 */
public record StrikeKey(Fingerprint fingerprint, BackendProcess process) {

	/**
	 * Creates the key and checks that its parts are present.
	 */
	public StrikeKey {
		Objects.requireNonNull(fingerprint, "fingerprint must not be null");
		Objects.requireNonNull(process, "process must not be null");
	}

	// Explicit for faster start-up, see the documentation of package core.identity.
	@Override
	public boolean equals(@Nullable Object other) {
		return other instanceof StrikeKey that && this.fingerprint.equals(that.fingerprint)
				&& this.process.equals(that.process);
	}

	@Override
	public int hashCode() {
		return 31 * this.fingerprint.hashCode() + this.process.hashCode();
	}

}
