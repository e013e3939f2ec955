package org.sardineport.core.quarantine;

import java.time.Instant;
import java.util.Objects;

/**
 * Verdict that a request must not run.
 *
 * @param suspect what is to blame: the request, or a part of its prompt
 * @param until time at which too few strikes remain
 */
public record Quarantine(Suspect suspect, Instant until) {

	/**
	 * Creates the verdict and checks that its components are present.
	 */
	public Quarantine {
		Objects.requireNonNull(suspect, "suspect must not be null");
		Objects.requireNonNull(until, "until must not be null");
	}

}
