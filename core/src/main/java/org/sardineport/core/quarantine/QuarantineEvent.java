package org.sardineport.core.quarantine;

import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.BackendServerId;

/**
 * Change in what is known of a request, or part of prompts, that may crash backend
 * servers.
 *
 * @param kind what happened
 * @param suspect the request or part of prompts
 * @param backendServer the backend server of the strike, or {@code null} if the event is
 * not about a single strike
 * @param strikes number of strikes that count against the suspect after the event
 */
public record QuarantineEvent(QuarantineEventKind kind, Suspect suspect, @Nullable BackendServerId backendServer,
		int strikes) {

	/**
	 * Creates the event and checks that its kind and suspect are present.
	 */
	public QuarantineEvent {
		Objects.requireNonNull(kind, "kind must not be null");
		Objects.requireNonNull(suspect, "suspect must not be null");
	}

}
