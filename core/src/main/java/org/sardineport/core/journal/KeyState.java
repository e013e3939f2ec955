package org.sardineport.core.journal;

import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.request.Outcome;

/**
 * What is known of a key.
 *
 * @param phase where the request is
 * @param outcome what is known of its run, once it is finished
 * @param answer the whole answer, if it completed and was kept
 */
public record KeyState(KeyPhase phase, @Nullable Outcome outcome, @Nullable StoredAnswer answer) {

	/**
	 * Creates the state.
	 */
	public KeyState {
		Objects.requireNonNull(phase, "phase must not be null");
	}

}
