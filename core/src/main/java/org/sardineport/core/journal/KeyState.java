package org.sardineport.core.journal;

import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.request.Outcome;

/**
 * State of a key as reported to callers.
 *
 * @param phase phase of the request
 * @param outcome outcome once the request has ended or was released,
 * {@link Outcome#UNKNOWN} if it cannot be determined, else {@code null}
 * @param response the complete answer if the request completed and it was stored, else
 * {@code null}
 */
public record KeyState(KeyPhase phase, @Nullable Outcome outcome, @Nullable StoredResponse response) {

	/**
	 * Creates the state.
	 */
	public KeyState {
		Objects.requireNonNull(phase, "phase must not be null");
	}

}
