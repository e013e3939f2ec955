package org.sardineport.standins.peer;

import java.time.Duration;

/**
 * How a network treats messages.
 *
 * @param loss share of messages lost, 0 to 1
 * @param duplication share of messages that come twice, 0 to 1
 * @param minimumDelay shortest way of a message
 * @param maximumDelay longest way of a message; messages overtake each other if it is
 * longer than the shortest
 */
public record NetworkConditions(double loss, double duplication, Duration minimumDelay, Duration maximumDelay) {

	/** Messages come at once, each exactly once. */
	public static final NetworkConditions PERFECT = new NetworkConditions(0, 0, Duration.ZERO, Duration.ZERO);

	/**
	 * Creates the conditions.
	 * @throws IllegalArgumentException if a share is out of range or the delays are out
	 * of order
	 */
	public NetworkConditions {
		if (loss < 0 || loss > 1 || duplication < 0 || duplication > 1) {
			throw new IllegalArgumentException("shares must be 0 to 1, found %f, %f".formatted(loss, duplication));
		}
		if (minimumDelay.isNegative() || maximumDelay.compareTo(minimumDelay) < 0) {
			throw new IllegalArgumentException(
					"delays must grow from zero, found %s, %s".formatted(minimumDelay, maximumDelay));
		}
	}

	/**
	 * Returns a network with a steady delay.
	 * @param delay the way of each message
	 * @return the conditions
	 */
	public static NetworkConditions delayed(Duration delay) {
		return new NetworkConditions(0, 0, delay, delay);
	}

	/**
	 * Returns these conditions with another loss.
	 * @param share share of messages lost, 0 to 1
	 * @return the conditions
	 */
	public NetworkConditions withLoss(double share) {
		return new NetworkConditions(share, this.duplication, this.minimumDelay, this.maximumDelay);
	}

}
