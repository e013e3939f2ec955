package org.sardineport.core.stop;

import java.time.Duration;
import java.util.Objects;

/**
 * Time limits of a planned stop.
 *
 * @param linger time for which callers are still served after the announcement of the
 * stop
 * @param limit time after the request of the stop at which requests in flight are
 * aborted; zero for no limit
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
	 * Returns a timing whose linger time covers every caller that knows the address of
	 * the daemon: another daemon may name it until it has learnt of the stop or has
	 * detected that the daemon no longer responds, and callers keep that response.
	 * @param linger linger time from the settings
	 * @param limit time after which requests in flight are aborted; zero for no limit
	 * @param keepTime time for which callers keep a response that names the daemon
	 * @param propagationBound maximum time until no other daemon names this one any more
	 * @return the timing, with the configured linger time or the minimum, whichever is
	 * longer
	 */
	public static StopTiming withMinimumLinger(Duration linger, Duration limit, Duration keepTime,
			Duration propagationBound) {
		Duration minimum = keepTime.plus(propagationBound);
		return new StopTiming((linger.compareTo(minimum) < 0) ? minimum : linger, limit);
	}

	/**
	 * Returns whether requests in flight are aborted at a limit.
	 * @return whether the limit is not zero
	 */
	public boolean isLimited() {
		return !this.limit.isZero();
	}

}
