package org.sardineport.core.overload;

import java.time.Duration;

/**
 * Time after which callers give up on a request that was not read.
 */
public final class UnreadTimeout {

	/** Maximum of this time, whatever the time limit. */
	public static final Duration MAX = Duration.ofSeconds(1);

	/** Part of the time limit after which callers give up, as a divisor. */
	private static final int TIME_LIMIT_DIVISOR = 3;

	private UnreadTimeout() {
	}

	/**
	 * Returns the time after which the caller of a request gives up.
	 * @param timeLimit time for which the caller waits for the response
	 * @return a third of the time limit, at most a second
	 */
	public static Duration of(Duration timeLimit) {
		Duration part = timeLimit.dividedBy(TIME_LIMIT_DIVISOR);
		return (part.compareTo(MAX) < 0) ? part : MAX;
	}

}
