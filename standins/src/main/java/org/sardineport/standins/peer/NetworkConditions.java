package org.sardineport.standins.peer;

import java.time.Duration;

/**
 * Loss, duplication and delay of the messages on a network. Immutable.
 *
 * @param loss probability that a message is lost, 0 to 1
 * @param duplication probability that a message is delivered twice, 0 to 1
 * @param minimumDelay shortest delay of a message
 * @param maximumDelay longest delay of a message; messages can be reordered if it exceeds
 * the shortest delay
 */
public record NetworkConditions(double loss, double duplication, Duration minimumDelay, Duration maximumDelay) {

	/** Delivers each message immediately and exactly once. */
	public static final NetworkConditions PERFECT = new NetworkConditions(0, 0, Duration.ZERO, Duration.ZERO);

	/**
	 * Creates the conditions.
	 * @throws IllegalArgumentException if a probability is out of range, a delay is
	 * negative, or the maximum delay is less than the minimum
	 */
	public NetworkConditions {
		if (loss < 0 || loss > 1 || duplication < 0 || duplication > 1) {
			throw new IllegalArgumentException(
					"loss and duplication must be 0 to 1, found %f, %f".formatted(loss, duplication));
		}
		if (minimumDelay.isNegative() || maximumDelay.compareTo(minimumDelay) < 0) {
			throw new IllegalArgumentException(
					"delays must not be negative, and the minimum must not exceed the maximum, found %s, %s"
						.formatted(minimumDelay, maximumDelay));
		}
	}

	/**
	 * Returns conditions with a constant delay, without loss and duplication.
	 * @param delay delay of each message
	 * @return the conditions
	 */
	public static NetworkConditions delayed(Duration delay) {
		return new NetworkConditions(0, 0, delay, delay);
	}

	/**
	 * Returns a copy of these conditions with another loss.
	 * @param share probability that a message is lost, 0 to 1
	 * @return the conditions
	 */
	public NetworkConditions withLoss(double share) {
		return new NetworkConditions(share, this.duplication, this.minimumDelay, this.maximumDelay);
	}

}
