package org.sardineport.core.overload;

import java.time.Duration;
import java.util.Objects;

/**
 * Change of a state that is reported.
 *
 * @param begins whether the state begins
 * @param suppressed begins since the last report that were not reported
 * @param lasted how long the state lasted; zero at its begin
 */
public record StateTransition(boolean begins, int suppressed, Duration lasted) {

	/**
	 * Creates the change; rejects missing components.
	 */
	public StateTransition {
		Objects.requireNonNull(lasted, "lasted must not be null");
	}

}
