package org.sardineport.core.quarantine;

import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.request.Fingerprint;

/**
 * Change in what is known of a request that may crash backend servers.
 *
 * @param kind what happened
 * @param fingerprint fingerprint of the request
 * @param backendServer the backend server of the strike, or {@code null} if the event is
 * not about a single strike
 * @param strikes number of strikes that count against the request after the event
 */
public record QuarantineEvent(QuarantineEventKind kind, Fingerprint fingerprint,
		@Nullable BackendServerId backendServer, int strikes) {

	/**
	 * Creates the event and checks that its kind and fingerprint are present.
	 */
	public QuarantineEvent {
		Objects.requireNonNull(kind, "kind must not be null");
		Objects.requireNonNull(fingerprint, "fingerprint must not be null");
	}

}
