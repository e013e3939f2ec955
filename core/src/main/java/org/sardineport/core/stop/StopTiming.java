package org.sardineport.core.stop;

import java.time.Duration;
import java.util.Objects;

/**
 * Times of a planned stop.
 *
 * @param linger time for which callers are served after the stop was announced
 * @param limit time after the request of the stop at which work in flight is cut off;
 * zero for never
 */
public record StopTiming(Duration linger, Duration limit) {

	/**
	 * Creates the timing.
	 * @throws IllegalArgumentException if a time is negative
	 */
	public StopTiming {
		Objects.requireNonNull(linger, "linger must not be null");
		Objects.requireNonNull(limit, "limit must not be null");
		if (linger.isNegative() || limit.isNegative()) {
			throw new IllegalArgumentException("times must not be negative, found %s and %s".formatted(linger, limit));
		}
	}

	/**
	 * Returns a timing whose linger is long enough for every caller that was told of the
	 * daemon: another daemon may name it until the news of the stop has come or the
	 * silence was noticed, and the caller keeps that answer.
	 * @param linger time asked for in the settings
	 * @param limit time after which work is cut off; zero for never
	 * @param keepTime time for which callers keep an answer
	 * @param newsBound longest time until no daemon names this one any more
	 * @return the timing, with the longer of the linger asked for and needed
	 */
	public static StopTiming covering(Duration linger, Duration limit, Duration keepTime, Duration newsBound) {
		Duration needed = keepTime.plus(newsBound);
		return new StopTiming((linger.compareTo(needed) < 0) ? needed : linger, limit);
	}

	/**
	 * Returns whether work in flight is ever cut off.
	 * @return whether there is a limit
	 */
	public boolean isLimited() {
		return !this.limit.isZero();
	}

}
