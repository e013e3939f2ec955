package org.sardineport.core.rollout;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits that a deployment sets for rollouts.
 *
 * @param exposedShare share of a pool's requests that a faulty version may get between
 * the order and the end of its duration
 * @param exposedSlack requests that it may get in addition
 * @param rollbackTime time after its fiftieth faulty response from which a version must
 * not get requests any more; a target is taken back at the first certain sign, which
 * comes earlier
 */
public record RolloutSettings(double exposedShare, int exposedSlack, Duration rollbackTime) {

	/**
	 * Creates the settings.
	 * @throws IllegalArgumentException if the share is not from 0 to 1 or the slack is
	 * negative
	 */
	public RolloutSettings {
		Objects.requireNonNull(rollbackTime, "rollbackTime must not be null");
		if (!(exposedShare >= 0 && exposedShare <= 1) || exposedSlack < 0) {
			throw new IllegalArgumentException(
					"exposedShare must be 0 to 1 and exposedSlack not negative, found %s and %d".formatted(exposedShare,
							exposedSlack));
		}
	}

}
